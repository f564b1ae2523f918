/** Draws a slope as a small SVG plot.
 * @module */

import * as vega from "vega";
import * as vegaLite from "vega-lite";
import type * as slope from "./slope.ts";

const WIDTH = 320;
const HEIGHT = 180;

/** Renders the measured points, and the line through them, as SVG. */
export async function render(measured: slope.Slope): Promise<string> {
  const { spec } = vegaLite.compile(describe(measured));
  const view = new vega.View(vega.parse(spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function describe(measured: slope.Slope): vegaLite.TopLevelSpec {
  const { name, per, unit, points } = measured;
  const x = { field: "size", type: "quantitative", title: per } as const;
  const y = { field: "value", type: "quantitative", title: unit } as const;
  return {
    title: name,
    width: WIDTH,
    height: HEIGHT,
    background: "white",
    layer: [
      {
        data: { values: lineOf(measured) },
        mark: { type: "line", strokeDash: [4, 4] },
        encoding: { x, y },
      },
      {
        data: { values: [...points] },
        mark: { type: "point", filled: true, size: 50 },
        encoding: { x, y },
      },
    ],
  };
}

function lineOf(
  { points, slope, intercept }: slope.Slope,
): slope.Point[] {
  const sizes = points.map(({ size }) => size);
  const ends = [Math.min(...sizes), Math.max(...sizes)];
  return ends.map((size) => ({ size, value: intercept + slope * size }));
}
