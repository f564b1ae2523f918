/** Base of the commands that change the table, and the `resend` command.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as clipanion from "clipanion";
import * as check from "../../schema/check.ts";
import type * as schema from "../../schema/table_types.ts";
import * as validators from "../../schema/table_validators.ts";
import * as settings from "../../settings/mod.ts";
import * as client from "../client/mod.ts";
import * as command from "./command.ts";

/** An edit without its actor, which the host sets. */
type EditWithoutActor = Omit<schema.Edit, "actor">;

/** Only the operator may read a saved edit, which can contain token hashes. */
const SAVED_EDIT_MODE = 0o600;

/** A command that changes the table. */
export abstract class ChangeCommand extends command.RemoteCommand {
  /** Sends `changes` as one edit under a new operation id. */
  protected async apply(
    to: client.Client,
    changes: schema.Change[],
  ): Promise<void> {
    if (changes.length === 0) {
      this.print({ changes: 0 }, () => "nothing to change\n");
      return;
    }
    if (changes.length > settings.MAX_CHANGES_PER_EDIT) {
      const message =
        `${changes.length} changes are more than one edit takes, ` +
        `${settings.MAX_CHANGES_PER_EDIT}`;
      throw new client.ClientError("usage", message);
    }
    const operation = crypto.randomUUID();
    const all = changes as schema.Edit["changes"];
    await this.send(to, { operation, changes: all });
  }

  /** Sends an edit; saves it to a file if the API stays unavailable. */
  protected async send(
    to: client.Client,
    edit: EditWithoutActor,
  ): Promise<void> {
    const revision = await to.edit(edit).catch((error) => {
      throw isUnavailable(error) ? saveEdit(edit, error) : error;
    });
    const { operation, changes } = edit;
    this.print(
      { revision, operation, changes: changes.length },
      () => `revision ${revision}, cells changed: ${changes.length}\n`,
    );
  }
}

function isUnavailable(error: unknown): error is client.ClientError {
  return error instanceof client.ClientError &&
    error.failure === "unavailable";
}

function saveEdit(
  edit: EditWithoutActor,
  cause: client.ClientError,
): client.ClientError {
  const file = path.join(os.tmpdir(), `chicoryloft-${edit.operation}.json`);
  fs.writeFileSync(file, JSON.stringify(edit), { mode: SAVED_EDIT_MODE });
  const message = `${cause.message}; the edit is kept, send it again with ` +
    `chicoryloft table resend ${file}`;
  const { failure, problem } = cause;
  return new client.ClientError(failure, message, { problem, cause });
}

/** Sends a saved edit again. */
export class ResendCommand extends ChangeCommand {
  static override paths = [["table", "resend"]];
  static override usage = clipanion.Command.Usage({
    description: "Send an edit again whose outcome is unknown",
    details:
      "The edit keeps its operation id. If it was already applied, the " +
      "original answer is returned and it is not applied again.",
  });

  file = clipanion.Option.String({ name: "FILE" });

  override async run(): Promise<void> {
    await this.send(this.connect(), readEdit(this.file));
  }
}

function readEdit(file: string): EditWithoutActor {
  try {
    const edit = { actor: "operator", ...JSON.parse(command.readText(file)) };
    const { actor: _, ...unsigned } = check.check<schema.Edit>(
      validators.validate,
      edit,
    );
    return unsigned;
  } catch (cause) {
    const message = `${file}: ${(cause as Error).message}`;
    throw new client.ClientError("usage", message, { cause });
  }
}
