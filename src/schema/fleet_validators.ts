/** Validator generated from schema/fleet.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"FleetMessage","description":"Messages between hosts that find each other by seeds: questions that are\nanswered, and notices that are not. Fields that a host does not know are left\nalone: hosts of two releases run beside each other during an upgrade.\n","type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/Ask"},{"$ref":"#/$defs/Answer"},{"$ref":"#/$defs/Working"},{"$ref":"#/$defs/Cast"}],"$defs":{"Count":{"type":"integer","minimum":0},"Name":{"type":"string","minLength":1,"maxLength":256},"Cell":{"description":"Part of a service's endpoints that one batcher schedules.","type":"string","minLength":1,"maxLength":256},"Ask":{"title":"Ask","type":"object","required":["type","id","body"],"properties":{"type":{"type":"string","const":"ask"},"id":{"$ref":"#/$defs/Count"},"body":{"$ref":"#/$defs/Question"}}},"Answer":{"title":"Answer","type":"object","required":["type","id","body"],"properties":{"type":{"type":"string","const":"answer"},"id":{"$ref":"#/$defs/Count"},"body":{"$ref":"#/$defs/Reply"}}},"Working":{"title":"Working","description":"Questions that this host has and has not answered yet.","type":"object","required":["type","ids"],"properties":{"type":{"type":"string","const":"working"},"ids":{"type":"array","items":{"$ref":"#/$defs/Count"}}}},"Cast":{"title":"Cast","type":"object","required":["type","body"],"properties":{"type":{"type":"string","const":"cast"},"body":{"$ref":"#/$defs/Notice"}}},"Question":{"type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/ConfirmQuestion"},{"$ref":"#/$defs/ReplaceQuestion"},{"$ref":"#/$defs/EvacuateQuestion"},{"$ref":"#/$defs/SyncQuestion"},{"$ref":"#/$defs/NoteQuestion"},{"$ref":"#/$defs/MakeQuestion"},{"$ref":"#/$defs/BookQuestion"},{"$ref":"#/$defs/PlaceQuestion"},{"$ref":"#/$defs/SuspectsQuestion"},{"$ref":"#/$defs/LeaseQuestion"},{"$ref":"#/$defs/QuotaQuestion"},{"$ref":"#/$defs/WarmupQuestion"},{"$ref":"#/$defs/SlotQuestion"},{"$ref":"#/$defs/OriginsQuestion"},{"$ref":"#/$defs/OriginQuestion"},{"$ref":"#/$defs/VersionsQuestion"},{"$ref":"#/$defs/SharesQuestion"}]},"Reply":{"type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/FailedReply"},{"$ref":"#/$defs/ConfirmedReply"},{"$ref":"#/$defs/ReplacedReply"},{"$ref":"#/$defs/EvacuatedReply"},{"$ref":"#/$defs/SyncedReply"},{"$ref":"#/$defs/NotedReply"},{"$ref":"#/$defs/MadeReply"},{"$ref":"#/$defs/BookedReply"},{"$ref":"#/$defs/PlacedReply"},{"$ref":"#/$defs/LeaseReply"},{"$ref":"#/$defs/QuotaReply"},{"$ref":"#/$defs/OriginReply"},{"$ref":"#/$defs/VersionsReply"},{"$ref":"#/$defs/SharesReply"}]},"Notice":{"type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/HelloNotice"},{"$ref":"#/$defs/ReleaseNotice"},{"$ref":"#/$defs/DropNotice"},{"$ref":"#/$defs/UseNotice"},{"$ref":"#/$defs/SuspectsNotice"},{"$ref":"#/$defs/LeaseOverNotice"},{"$ref":"#/$defs/LimitsNotice"},{"$ref":"#/$defs/SlotsNotice"}]},"ConfirmQuestion":{"title":"ConfirmQuestion","description":"Asks a leader for what is in force.","type":"object","required":["type"],"properties":{"type":{"type":"string","const":"confirm"},"version":{"description":"Newest that the asker holds.","$ref":"#/$defs/Count"}}},"ConfirmedReply":{"title":"ConfirmedReply","type":"object","required":["type","index"],"properties":{"type":{"type":"string","const":"confirmed"},"index":{"description":"Of the log; a replica that has it applied is up to date.","$ref":"#/$defs/Count"},"version":{"description":"In force; told to an asker that names its own.","$ref":"#/$defs/Count"},"document":{"description":"The configuration, packed, if the asker has an older one.","type":"string"},"digest":{"description":"Short mark of its text.","type":"string"},"evacuations":{"$ref":"#/$defs/Evacuations"}}},"ReplaceQuestion":{"title":"ReplaceQuestion","description":"Orders a version of the configuration.","type":"object","required":["type","version","document","digest"],"properties":{"type":{"type":"string","const":"replace"},"version":{"$ref":"#/$defs/Count"},"document":{"description":"The whole configuration, packed.","type":"string"},"digest":{"description":"Short mark of its text.","type":"string"}}},"ReplacedReply":{"title":"ReplacedReply","type":"object","required":["type","verdict","version"],"properties":{"type":{"type":"string","const":"replaced"},"verdict":{"enum":["accepted","known","older","conflict"]},"version":{"$ref":"#/$defs/Count"}}},"Evacuation":{"title":"Evacuation","description":"The last order about the evacuation of a data centre: to the endpoints of\none that is evacuated nothing new goes.\n","type":"object","required":["dataCentre","revision","active","orderedAt"],"properties":{"dataCentre":{"$ref":"#/$defs/Name"},"revision":{"description":"Number of orders about this data centre that had effect.","$ref":"#/$defs/Count"},"active":{"description":"Whether it is evacuated; else that is over.","type":"boolean"},"orderedAt":{"description":"Unix milliseconds by the clock of the host that took the order.\n","type":"number"}}},"Evacuations":{"description":"Of each data centre that ever was evacuated.","type":"array","items":{"$ref":"#/$defs/Evacuation"}},"EvacuateQuestion":{"title":"EvacuateQuestion","description":"Orders the begin or the end of an evacuation.","type":"object","required":["type","dataCentre","active","after","orderedAt"],"properties":{"type":{"type":"string","const":"evacuate"},"dataCentre":{"$ref":"#/$defs/Name"},"active":{"type":"boolean"},"after":{"description":"Revision that the order follows. One that comes late, after another\norder, has no effect.\n","$ref":"#/$defs/Count"},"orderedAt":{"type":"number"}}},"EvacuatedReply":{"title":"EvacuatedReply","type":"object","required":["type","verdict","revision"],"properties":{"type":{"type":"string","const":"evacuated"},"verdict":{"enum":["accepted","known","outdated"]},"revision":{"description":"In force about this data centre.","$ref":"#/$defs/Count"}}},"SyncQuestion":{"title":"SyncQuestion","description":"Asks for what is new, and for a proof that nothing else is.","type":"object","required":["type","version","epoch","revision","mark","host"],"properties":{"type":{"type":"string","const":"sync"},"version":{"$ref":"#/$defs/Count"},"epoch":{"description":"Of the roster that `revision` counts; empty without one.","type":"string"},"revision":{"$ref":"#/$defs/Count"},"mark":{"description":"Of the hosts that the asker knows; empty without any.","type":"string"},"host":{"$ref":"#/$defs/EntryHost"},"suspectRevision":{"description":"Of the suspects that the asker knows; of `epoch`.","$ref":"#/$defs/Count"},"evacuationOrders":{"description":"Orders of evacuations that the asker holds, in all.","$ref":"#/$defs/Count"},"slowness":{"description":"Slowness of endpoints that the asker observed since its last sync;\nabsent without any.\n","$ref":"#/$defs/SlownessReports"}}},"SyncedReply":{"title":"SyncedReply","type":"object","required":["type","confirmed","version","epoch","revision","sightings","mark","cores"],"properties":{"type":{"type":"string","const":"synced"},"confirmed":{"description":"Whether a majority says that no version is newer.","type":"boolean"},"version":{"$ref":"#/$defs/Count"},"document":{"description":"The configuration, packed, if the asker has an older one.","type":"string"},"epoch":{"type":"string"},"revision":{"$ref":"#/$defs/Count"},"sightings":{"type":"array","items":{"$ref":"#/$defs/Sighting"}},"mark":{"description":"Of the hosts that take requests now.","type":"string"},"hosts":{"description":"These, if the asker knows others.","type":"array","items":{"$ref":"#/$defs/EntryHost"}},"cores":{"type":"array","items":{"$ref":"#/$defs/Name"}},"evacuations":{"$ref":"#/$defs/Evacuations"},"suspectRevision":{"$ref":"#/$defs/Count"},"suspects":{"description":"Those that have changed since the asker's revision.","type":"array","items":{"$ref":"#/$defs/Suspect"}},"limits":{"description":"Rate limits that endpoints name; absent without any.","type":"array","items":{"$ref":"#/$defs/EndpointLimit"}},"slowness":{"description":"Recently changed estimates of all hosts together; absent without any.\n","$ref":"#/$defs/SlownessReports"},"contended":{"$ref":"#/$defs/Contended"}}},"NoteQuestion":{"title":"NoteQuestion","description":"Tells another core host of endpoints.","type":"object","required":["type","sightings"],"properties":{"type":{"type":"string","const":"note"},"sightings":{"type":"array","items":{"$ref":"#/$defs/Sighting"}}}},"NotedReply":{"title":"NotedReply","type":"object","required":["type"],"properties":{"type":{"type":"string","const":"noted"}}},"Suspect":{"title":"Suspect","description":"What is known of a request, or a prompt part, that may crash endpoints.","type":"object","required":["fingerprint","crashes","acquittals","trials"],"properties":{"fingerprint":{"type":"string","minLength":1,"maxLength":64},"crashes":{"type":"array","maxItems":64,"items":{"$ref":"#/$defs/Crash"}},"acquittals":{"$ref":"#/$defs/Count"},"trials":{"$ref":"#/$defs/Count"},"answers":{"description":"Most whole answers on the part that a host has seen.","$ref":"#/$defs/Count"}}},"Crash":{"title":"Crash","type":"object","required":["endpoint","age"],"properties":{"endpoint":{"$ref":"#/$defs/Engine"},"age":{"description":"Milliseconds since the call broke.","type":"number","minimum":0},"refuted":{"description":"Whether the endpoint was heard again since.","type":"boolean"}}},"SuspectsQuestion":{"title":"SuspectsQuestion","description":"Tells a core host of requests that may crash endpoints.","type":"object","required":["type","suspects"],"properties":{"type":{"type":"string","const":"suspects"},"suspects":{"type":"array","items":{"$ref":"#/$defs/Suspect"}}}},"SuspectsNotice":{"title":"SuspectsNotice","description":"A core host knows these requests that may crash endpoints.","type":"object","required":["type","suspects"],"properties":{"type":{"type":"string","const":"suspects"},"suspects":{"type":"array","items":{"$ref":"#/$defs/Suspect"}}}},"LeaseQuestion":{"title":"LeaseQuestion","description":"Asks for a lease to run a suspected request: it runs at one endpoint of the\nfleet at a time, and no other suspected one runs there.\n","type":"object","required":["type","fingerprint","endpoint","remaining"],"properties":{"type":{"type":"string","const":"lease"},"fingerprint":{"type":"string","minLength":1,"maxLength":64},"endpoint":{"$ref":"#/$defs/Engine"},"remaining":{"description":"Milliseconds after which its run has ended.","type":"number","minimum":0}}},"LeaseReply":{"title":"LeaseReply","type":"object","required":["type","granted","wait"],"properties":{"type":{"type":"string","const":"lease"},"granted":{"type":"boolean"},"taken":{"description":"Whether another suspected request runs at the endpoint.","type":"boolean"},"wait":{"description":"Milliseconds after which to ask again, if it is refused.","type":"number","minimum":0}}},"LeaseOverNotice":{"title":"LeaseOverNotice","description":"A run under a lease has ended without a crash or an answer.","type":"object","required":["type","fingerprint"],"properties":{"type":{"type":"string","const":"lease-over"},"fingerprint":{"type":"string","minLength":1,"maxLength":64},"unused":{"description":"Whether no endpoint ran the request, so it was no trial.","type":"boolean"}}},"EndpointLimit":{"title":"EndpointLimit","description":"A rate limit that an endpoint has named in its answers.","type":"object","required":["endpoint","limit","age"],"properties":{"endpoint":{"$ref":"#/$defs/Engine"},"limit":{"description":"Requests a second from all hosts together.","type":"number","minimum":0},"age":{"description":"Milliseconds since an answer named it.","type":"number","minimum":0},"ended":{"description":"Milliseconds since answers name none any more.","type":"number","minimum":0}}},"QuotaQuestion":{"title":"QuotaQuestion","description":"Asks for a grant to send one request to a limited endpoint.","type":"object","required":["type","limit"],"properties":{"type":{"type":"string","const":"quota"},"limit":{"$ref":"#/$defs/EndpointLimit"}}},"WarmupQuestion":{"title":"WarmupQuestion","description":"Asks for a grant to send one request to a cold endpoint.","type":"object","required":["type","endpoint","rate"],"properties":{"type":{"type":"string","const":"warmup"},"endpoint":{"$ref":"#/$defs/Engine"},"rate":{"description":"Requests a second from all hosts together.","type":"number","exclusiveMinimum":0}}},"SlotQuestion":{"title":"SlotQuestion","description":"Asks for a grant to send one request to a brittle endpoint.","type":"object","required":["type","endpoint","slots","inFlight"],"properties":{"type":{"type":"string","const":"slot"},"endpoint":{"$ref":"#/$defs/Engine"},"slots":{"description":"Requests that the endpoint runs at once.","type":"integer","minimum":1},"inFlight":{"description":"The asker's requests there, granted ones included.","type":"integer","minimum":0}}},"StreamOrigin":{"title":"StreamOrigin","description":"The service and the software version at which a stream began.","type":"object","required":["stream","service","version","host","lifetime","age"],"properties":{"stream":{"$ref":"#/$defs/Stream"},"service":{"$ref":"#/$defs/Name"},"version":{"$ref":"#/$defs/Name"},"host":{"description":"Host that relayed its first event.","$ref":"#/$defs/Name"},"lifetime":{"description":"Milliseconds for which it is kept after its last use.","type":"number","minimum":0},"age":{"description":"Milliseconds since the first event.","type":"number","minimum":0}}},"Stream":{"description":"Digest of the account, the route and the first attempt.","type":"string","minLength":1,"maxLength":64},"OriginsQuestion":{"title":"OriginsQuestion","description":"Asks a control host to store origins of streams.","type":"object","required":["type","origins"],"properties":{"type":{"type":"string","const":"origins"},"origins":{"type":"array","items":{"$ref":"#/$defs/StreamOrigin"}}}},"OriginQuestion":{"title":"OriginQuestion","description":"Asks a control host for the origin of a stream.","type":"object","required":["type","stream"],"properties":{"type":{"type":"string","const":"origin"},"stream":{"$ref":"#/$defs/Stream"}}},"OriginReply":{"title":"OriginReply","type":"object","required":["type"],"properties":{"type":{"type":"string","const":"origin"},"origin":{"description":"Absent if it is not known.","$ref":"#/$defs/StreamOrigin"},"conflicting":{"description":"Whether different origins were recorded for the stream.","type":"boolean"}}},"VersionsQuestion":{"title":"VersionsQuestion","description":"Asks a control host which software versions of a service it has reported.\n","type":"object","required":["type","service","period"],"properties":{"type":{"type":"string","const":"versions"},"service":{"$ref":"#/$defs/Name"},"period":{"description":"Milliseconds up to now that count.","type":"number","minimum":0}}},"VersionsReply":{"title":"VersionsReply","type":"object","required":["type","versions","complete"],"properties":{"type":{"type":"string","const":"versions"},"versions":{"description":"Without order; an empty one stands for an unknown version.","type":"array","items":{"type":"string","maxLength":256}},"complete":{"description":"Whether the host has observed endpoints for the period.","type":"boolean"}}},"SlotsNotice":{"title":"SlotsNotice","description":"Tells a core host of this host's requests at an endpoint.","type":"object","required":["type","endpoint","inFlight"],"properties":{"type":{"type":"string","const":"slots"},"endpoint":{"$ref":"#/$defs/Engine"},"inFlight":{"type":"integer","minimum":0}}},"SlownessReports":{"type":"array","maxItems":1024,"items":{"$ref":"#/$defs/SlownessReport"}},"SlownessReport":{"title":"SlownessReport","description":"Time that calls took at an endpoint relative to the expectation for its\nservice.\n","type":"object","required":["endpoint","ratio","count"],"properties":{"endpoint":{"$ref":"#/$defs/Engine"},"ratio":{"description":"Geometric mean of the observed ratios.","type":"number","exclusiveMinimum":0},"count":{"description":"Number of observations.","type":"number","exclusiveMinimum":0}}},"Contended":{"description":"Services under contention; absent without any.","type":"array","items":{"$ref":"#/$defs/Name"}},"SharesQuestion":{"title":"SharesQuestion","description":"Reports what client accounts asked of a service and asks for their shares.\nCosts are sums over `span`.\n","type":"object","required":["type","service","span","admitted","denied","accounts"],"properties":{"type":{"type":"string","const":"shares"},"service":{"$ref":"#/$defs/Name"},"span":{"description":"Milliseconds that the sums cover.","type":"number","exclusiveMinimum":0},"admitted":{"description":"Cost of requests that no share refused.","type":"number","minimum":0},"denied":{"description":"Cost of those that ended late or for lack of capacity.","type":"number","minimum":0},"accounts":{"type":"array","items":{"$ref":"#/$defs/AccountUse"}}}},"AccountUse":{"title":"AccountUse","type":"object","required":["account","rank","offered","served"],"properties":{"account":{"description":"Empty for requests without an account.","type":"string","maxLength":256},"rank":{"$ref":"#/$defs/Count"},"offered":{"type":"number","minimum":0},"served":{"type":"number","minimum":0}}},"SharesReply":{"title":"SharesReply","type":"object","required":["type","watched","limits"],"properties":{"type":{"type":"string","const":"shares"},"watched":{"description":"Whether the service is or recently was under contention.","type":"boolean"},"decided":{"description":"Whether the replier has heard enough hosts to decide; a reply without a\ncapacity then says that there is no contention.\n","type":"boolean"},"capacity":{"description":"Cost a second that the service is taken to serve.","type":"number","minimum":0},"limits":{"description":"Limits for the asker; accounts without one are not limited.","type":"array","items":{"$ref":"#/$defs/AccountLimit"}}}},"AccountLimit":{"title":"AccountLimit","type":"object","required":["account","rank","rate"],"properties":{"account":{"type":"string","maxLength":256},"rank":{"$ref":"#/$defs/Count"},"rate":{"description":"Cost a second.","type":"number","minimum":0}}},"QuotaReply":{"title":"QuotaReply","type":"object","required":["type","granted","wait"],"properties":{"type":{"type":"string","const":"quota"},"granted":{"type":"boolean"},"wait":{"description":"Milliseconds until there may be a grant.","type":"number","minimum":0}}},"LimitsNotice":{"title":"LimitsNotice","description":"Tells a core host of rate limits that endpoints name.","type":"object","required":["type","limits"],"properties":{"type":{"type":"string","const":"limits"},"limits":{"type":"array","items":{"$ref":"#/$defs/EndpointLimit"}}}},"MakeQuestion":{"title":"MakeQuestion","description":"Asks the batcher of a cell for pieces of one request.","type":"object","required":["type","service","cell","request","stage","pieces","bytes","remaining","rank"],"properties":{"type":{"type":"string","const":"make"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"request":{"$ref":"#/$defs/Name"},"stage":{"$ref":"#/$defs/Count"},"pieces":{"type":"array","items":{"$ref":"#/$defs/Count"}},"key":{"type":"string"},"inputs":{"type":"array","items":{"type":"string"}},"bytes":{"description":"About how large a result is.","type":"number"},"moved":{"description":"Bytes that cross to another data centre for each piece that is made away from `dataCentre`.","type":"number"},"remaining":{"description":"Milliseconds after which the results are of no use.","type":"number"},"slack":{"description":"Milliseconds within which they are wanted.","type":"number"},"rank":{"type":"number"},"dataCentre":{"type":"string"}}},"MadeReply":{"title":"MadeReply","description":"Results, and the question that they answer, which hosts of earlier\nreleases leave out.\n","type":"object","required":["type","results"],"properties":{"type":{"type":"string","const":"made"},"service":{"$ref":"#/$defs/Name"},"request":{"$ref":"#/$defs/Name"},"stage":{"$ref":"#/$defs/Count"},"results":{"type":"array","items":{"$ref":"#/$defs/Result"}}}},"BookQuestion":{"title":"BookQuestion","description":"Announces pieces that will be asked for, and asks how long they would\nwait.\n","type":"object","required":["type","service","cell","request","stage","pieces","slack","rank"],"properties":{"type":{"type":"string","const":"book"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"request":{"$ref":"#/$defs/Name"},"stage":{"$ref":"#/$defs/Count"},"pieces":{"$ref":"#/$defs/Count"},"slack":{"type":"number"},"rank":{"type":"number"},"bytes":{"description":"Size of a piece's result; absent from hosts of earlier releases.","type":"number"}}},"BookedReply":{"title":"BookedReply","type":"object","required":["type","wait","work"],"properties":{"type":{"type":"string","const":"booked"},"wait":{"description":"Milliseconds until they would be begun.","type":"number"},"work":{"description":"Milliseconds that calls take there lately.","type":"number"},"workAge":{"description":"Milliseconds since a call was last measured; absent before the first.","type":"number"},"ahead":{"description":"Pieces that `wait` counts before them.","type":"number"},"rate":{"description":"Pieces that `wait` expects to be begun in a second.","type":"number"},"scarce":{"description":"What the pieces wait for; absent where endpoints keep up.","type":"string","enum":["calls","memory","placement"]}}},"PlaceQuestion":{"title":"PlaceQuestion","description":"Asks the owner of a partition of engines which of them a prompt goes to.\n","type":"object","required":["type","service","partition","prompt","tried","sent"],"properties":{"type":{"type":"string","const":"place"},"service":{"$ref":"#/$defs/Name"},"partition":{"$ref":"#/$defs/Cell"},"prompt":{"$ref":"#/$defs/Prompt"},"planned":{"description":"Engine that the prompt's inputs were made near.","$ref":"#/$defs/Engine"},"version":{"description":"Software version that the engine must have.","$ref":"#/$defs/Name"},"tried":{"description":"Engines that were called for the request before.","type":"array","items":{"$ref":"#/$defs/Engine"}},"sent":{"description":"Whether the prompt goes there now; else it is a forecast.","type":"boolean"}}},"PlacedReply":{"title":"PlacedReply","type":"object","required":["type","engine","read","fetched","fetchTime","firstEvent","work"],"properties":{"type":{"type":"string","const":"placed"},"engine":{"$ref":"#/$defs/Engine"},"source":{"description":"Engine that it fetches shared parts of the prompt from.","$ref":"#/$defs/Engine"},"read":{"description":"Prompt tokens that it must read.","type":"number","minimum":0},"fetched":{"type":"number","minimum":0},"fetchTime":{"description":"Milliseconds that the fetch takes.","type":"number","minimum":0},"firstEvent":{"description":"Milliseconds until its first event is expected.","type":"number","minimum":0},"work":{"$ref":"#/$defs/EngineWork"},"slowness":{"description":"Slowness of the engine; absent while its service is even.","type":"number","exclusiveMinimum":0}}},"EngineWork":{"title":"EngineWork","description":"What an engine has to do before a first event.","type":"object","required":["tokens","streams"],"properties":{"tokens":{"type":"number","minimum":0},"streams":{"type":"number","minimum":0}}},"Engine":{"description":"One incarnation of an engine.","type":"string","minLength":1,"maxLength":300},"Prompt":{"title":"Prompt","type":"object","required":["model","inputTokens","outputTokens","parts"],"properties":{"model":{"type":"string"},"inputTokens":{"type":"number","minimum":0},"outputTokens":{"type":"number","minimum":0},"parts":{"type":"array","items":{"$ref":"#/$defs/PromptPart"}}}},"Result":{"title":"Result","description":"A result, or why there is none.","type":"object","required":["piece"],"properties":{"piece":{"$ref":"#/$defs/Count"},"handle":{"type":"string"},"failure":{"enum":["late","gone","room","error","unreachable"]}}},"FailedReply":{"title":"FailedReply","type":"object","required":["type","reason"],"properties":{"type":{"type":"string","const":"failed"},"reason":{"enum":["not-leader","no-quorum","unknown","stopped","not-served","unreachable"]},"leader":{"type":"string"}}},"HelloNotice":{"title":"HelloNotice","description":"A core host is there, and knows these.","type":"object","required":["type","dataCentre","cores","hosts"],"properties":{"type":{"type":"string","const":"hello"},"dataCentre":{"$ref":"#/$defs/Name"},"cores":{"type":"array","items":{"$ref":"#/$defs/Name"}},"hosts":{"type":"array","items":{"$ref":"#/$defs/EntryHost"}},"leadership":{"description":"Absent where the sender's replica hears no leader.","$ref":"#/$defs/Leadership"},"limits":{"description":"Rate limits that endpoints name; absent without any.","type":"array","items":{"$ref":"#/$defs/EndpointLimit"}},"slowness":{"description":"Observations that entry hosts have reported to the sender since its\nlast hello to the receiver; absent without any.\n","$ref":"#/$defs/SlownessReports"},"contended":{"$ref":"#/$defs/Contended"}}},"Leadership":{"title":"Leadership","description":"Who leads the log, as a replica knows it from the leader.","type":"object","required":["term","leader","voters"],"properties":{"term":{"$ref":"#/$defs/Count"},"leader":{"$ref":"#/$defs/Name"},"voters":{"type":"array","items":{"$ref":"#/$defs/Name"}}}},"ReleaseNotice":{"title":"ReleaseNotice","description":"Results that nobody needs any more.","type":"object","required":["type","service","cell","handles"],"properties":{"type":{"type":"string","const":"release"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"handles":{"type":"array","items":{"type":"string"}}}},"DropNotice":{"title":"DropNotice","description":"A request that nobody waits for any more.","type":"object","required":["type","service","cell","request"],"properties":{"type":{"type":"string","const":"drop"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"request":{"$ref":"#/$defs/Name"}}},"UseNotice":{"title":"UseNotice","description":"What a host has engines do now, of those where it changed.","type":"object","required":["type","uses"],"properties":{"type":{"type":"string","const":"use"},"uses":{"type":"array","items":{"$ref":"#/$defs/EngineUse"}}}},"EngineUse":{"title":"EngineUse","type":"object","required":["engine","tokens","streams","read"],"properties":{"engine":{"description":"One incarnation of it; what was said of another is ignored.","type":"string","minLength":1,"maxLength":300},"tokens":{"description":"Prompt tokens sent there whose first event has not come.","type":"number","minimum":0},"streams":{"description":"Requests under way there.","type":"integer","minimum":0},"read":{"description":"Shared parts of prompts that were sent there since.","type":"array","items":{"type":"array","items":{"$ref":"#/$defs/PromptPart"}}},"firsts":{"description":"First events since, of prompts that another host placed.","type":"array","items":{"$ref":"#/$defs/FirstEvent"}},"verdicts":{"description":"How calls ended since, of prompts that another host placed.","type":"array","items":{"enum":["good","bad","full"]}},"gaps":{"description":"Mean gaps between events of streams that ended since, of prompts that\nanother host placed, relative to the mean gap of the service.\n","type":"array","items":{"type":"number","exclusiveMinimum":0}}}},"FirstEvent":{"title":"FirstEvent","type":"object","required":["work","took"],"properties":{"work":{"$ref":"#/$defs/EngineWork"},"took":{"description":"Milliseconds from the call.","type":"number","minimum":0},"fetched":{"description":"Whether the engine fetched parts of the prompt from another one's\ncache; absent if not.\n","type":"boolean"}}},"PromptPart":{"title":"PromptPart","type":"object","required":["id","tokens"],"properties":{"id":{"$ref":"#/$defs/Name"},"tokens":{"type":"number","minimum":0}}},"EntryHost":{"title":"EntryHost","description":"A host that takes requests.","type":"object","required":["host","dataCentre","ready","age"],"properties":{"host":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"ready":{"type":"boolean"},"capacity":{"description":"Its processor, in cores; absent if unknown, or of an earlier release.\n","type":"number","exclusiveMinimum":0},"age":{"description":"Milliseconds since it was last heard.","type":"number","minimum":0}}},"Sighting":{"title":"Sighting","description":"What an endpoint last said of itself.","type":"object","required":["id","service","address","dataCentre","version","slots","state","sequence","age"],"properties":{"id":{"$ref":"#/$defs/Name"},"born":{"description":"Unix milliseconds of its start; absent where it does not say.\n","type":"integer","minimum":0},"service":{"$ref":"#/$defs/Name"},"address":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"version":{"type":"string"},"slots":{"type":"number"},"state":{"enum":["ready","draining","gone"]},"sequence":{"type":"integer","minimum":-1},"age":{"description":"Milliseconds since it was last heard.","type":"number","minimum":0},"cold":{"description":"Milliseconds for which it is still slow after its start.","type":"number","minimum":0},"silent":{"description":"Whether its heartbeats have stopped; for entry hosts.","type":"boolean"}}}}};
const schema32 = {"title":"Ask","type":"object","required":["type","id","body"],"properties":{"type":{"type":"string","const":"ask"},"id":{"$ref":"#/$defs/Count"},"body":{"$ref":"#/$defs/Question"}}};
const schema33 = {"type":"integer","minimum":0};
const schema34 = {"type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/ConfirmQuestion"},{"$ref":"#/$defs/ReplaceQuestion"},{"$ref":"#/$defs/EvacuateQuestion"},{"$ref":"#/$defs/SyncQuestion"},{"$ref":"#/$defs/NoteQuestion"},{"$ref":"#/$defs/MakeQuestion"},{"$ref":"#/$defs/BookQuestion"},{"$ref":"#/$defs/PlaceQuestion"},{"$ref":"#/$defs/SuspectsQuestion"},{"$ref":"#/$defs/LeaseQuestion"},{"$ref":"#/$defs/QuotaQuestion"},{"$ref":"#/$defs/WarmupQuestion"},{"$ref":"#/$defs/SlotQuestion"},{"$ref":"#/$defs/OriginsQuestion"},{"$ref":"#/$defs/OriginQuestion"},{"$ref":"#/$defs/VersionsQuestion"},{"$ref":"#/$defs/SharesQuestion"}]};
const schema35 = {"title":"ConfirmQuestion","description":"Asks a leader for what is in force.","type":"object","required":["type"],"properties":{"type":{"type":"string","const":"confirm"},"version":{"description":"Newest that the asker holds.","$ref":"#/$defs/Count"}}};

function validate23(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate23.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate23.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema35.required,parentSchema:schema35,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate23.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema35.properties.type.type,parentSchema:schema35.properties.type,data:data0}];
return false;
}
if("confirm" !== data0){
validate23.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "confirm"},message:"must be equal to constant",schema:"confirm",parentSchema:schema35.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data1 = data.version;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate23.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate23.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate23.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema35.type,parentSchema:schema35,data}];
return false;
}
}
validate23.errors = vErrors;
return errors === 0;
}
validate23.evaluated = {"props":{"type":true,"version":true},"dynamicProps":false,"dynamicItems":false};

const schema37 = {"title":"ReplaceQuestion","description":"Orders a version of the configuration.","type":"object","required":["type","version","document","digest"],"properties":{"type":{"type":"string","const":"replace"},"version":{"$ref":"#/$defs/Count"},"document":{"description":"The whole configuration, packed.","type":"string"},"digest":{"description":"Short mark of its text.","type":"string"}}};

function validate24(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate24.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.version === undefined) && (missing0 = "version"))) || ((data.document === undefined) && (missing0 = "document"))) || ((data.digest === undefined) && (missing0 = "digest"))){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema37.required,parentSchema:schema37,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate24.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema37.properties.type.type,parentSchema:schema37.properties.type,data:data0}];
return false;
}
if("replace" !== data0){
validate24.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "replace"},message:"must be equal to constant",schema:"replace",parentSchema:schema37.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data1 = data.version;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate24.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate24.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.document !== undefined){
let data2 = data.document;
const _errs6 = errors;
if(typeof data2 !== "string"){
validate24.errors = [{instancePath:instancePath+"/document",schemaPath:"#/properties/document/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema37.properties.document.type,parentSchema:schema37.properties.document,data:data2}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.digest !== undefined){
let data3 = data.digest;
const _errs8 = errors;
if(typeof data3 !== "string"){
validate24.errors = [{instancePath:instancePath+"/digest",schemaPath:"#/properties/digest/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema37.properties.digest.type,parentSchema:schema37.properties.digest,data:data3}];
return false;
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema37.type,parentSchema:schema37,data}];
return false;
}
}
validate24.errors = vErrors;
return errors === 0;
}
validate24.evaluated = {"props":{"type":true,"version":true,"document":true,"digest":true},"dynamicProps":false,"dynamicItems":false};

const schema39 = {"title":"EvacuateQuestion","description":"Orders the begin or the end of an evacuation.","type":"object","required":["type","dataCentre","active","after","orderedAt"],"properties":{"type":{"type":"string","const":"evacuate"},"dataCentre":{"$ref":"#/$defs/Name"},"active":{"type":"boolean"},"after":{"description":"Revision that the order follows. One that comes late, after another\norder, has no effect.\n","$ref":"#/$defs/Count"},"orderedAt":{"type":"number"}}};
const schema40 = {"type":"string","minLength":1,"maxLength":256};

function validate25(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate25.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.type === undefined) && (missing0 = "type")) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))) || ((data.active === undefined) && (missing0 = "active"))) || ((data.after === undefined) && (missing0 = "after"))) || ((data.orderedAt === undefined) && (missing0 = "orderedAt"))){
validate25.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema39.required,parentSchema:schema39,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate25.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema39.properties.type.type,parentSchema:schema39.properties.type,data:data0}];
return false;
}
if("evacuate" !== data0){
validate25.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "evacuate"},message:"must be equal to constant",schema:"evacuate",parentSchema:schema39.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data1 = data.dataCentre;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate25.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate25.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate25.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.active !== undefined){
let data2 = data.active;
const _errs6 = errors;
if(typeof data2 !== "boolean"){
validate25.errors = [{instancePath:instancePath+"/active",schemaPath:"#/properties/active/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema39.properties.active.type,parentSchema:schema39.properties.active,data:data2}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.after !== undefined){
let data3 = data.after;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate25.errors = [{instancePath:instancePath+"/after",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate25.errors = [{instancePath:instancePath+"/after",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.orderedAt !== undefined){
let data4 = data.orderedAt;
const _errs11 = errors;
if(!((typeof data4 == "number") && (isFinite(data4)))){
validate25.errors = [{instancePath:instancePath+"/orderedAt",schemaPath:"#/properties/orderedAt/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema39.properties.orderedAt.type,parentSchema:schema39.properties.orderedAt,data:data4}];
return false;
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate25.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema39.type,parentSchema:schema39,data}];
return false;
}
}
validate25.errors = vErrors;
return errors === 0;
}
validate25.evaluated = {"props":{"type":true,"dataCentre":true,"active":true,"after":true,"orderedAt":true},"dynamicProps":false,"dynamicItems":false};

const schema42 = {"title":"SyncQuestion","description":"Asks for what is new, and for a proof that nothing else is.","type":"object","required":["type","version","epoch","revision","mark","host"],"properties":{"type":{"type":"string","const":"sync"},"version":{"$ref":"#/$defs/Count"},"epoch":{"description":"Of the roster that `revision` counts; empty without one.","type":"string"},"revision":{"$ref":"#/$defs/Count"},"mark":{"description":"Of the hosts that the asker knows; empty without any.","type":"string"},"host":{"$ref":"#/$defs/EntryHost"},"suspectRevision":{"description":"Of the suspects that the asker knows; of `epoch`.","$ref":"#/$defs/Count"},"evacuationOrders":{"description":"Orders of evacuations that the asker holds, in all.","$ref":"#/$defs/Count"},"slowness":{"description":"Slowness of endpoints that the asker observed since its last sync;\nabsent without any.\n","$ref":"#/$defs/SlownessReports"}}};
const schema45 = {"title":"EntryHost","description":"A host that takes requests.","type":"object","required":["host","dataCentre","ready","age"],"properties":{"host":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"ready":{"type":"boolean"},"capacity":{"description":"Its processor, in cores; absent if unknown, or of an earlier release.\n","type":"number","exclusiveMinimum":0},"age":{"description":"Milliseconds since it was last heard.","type":"number","minimum":0}}};

function validate27(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate27.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.host === undefined) && (missing0 = "host")) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))) || ((data.ready === undefined) && (missing0 = "ready"))) || ((data.age === undefined) && (missing0 = "age"))){
validate27.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema45.required,parentSchema:schema45,data}];
return false;
}
else {
if(data.host !== undefined){
let data0 = data.host;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 256){
validate27.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate27.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data0}];
return false;
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data1 = data.dataCentre;
const _errs4 = errors;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length > 256){
validate27.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate27.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate27.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.ready !== undefined){
let data2 = data.ready;
const _errs7 = errors;
if(typeof data2 !== "boolean"){
validate27.errors = [{instancePath:instancePath+"/ready",schemaPath:"#/properties/ready/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema45.properties.ready.type,parentSchema:schema45.properties.ready,data:data2}];
return false;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.capacity !== undefined){
let data3 = data.capacity;
const _errs9 = errors;
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 <= 0 || isNaN(data3)){
validate27.errors = [{instancePath:instancePath+"/capacity",schemaPath:"#/properties/capacity/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema45.properties.capacity,data:data3}];
return false;
}
}
else {
validate27.errors = [{instancePath:instancePath+"/capacity",schemaPath:"#/properties/capacity/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema45.properties.capacity.type,parentSchema:schema45.properties.capacity,data:data3}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.age !== undefined){
let data4 = data.age;
const _errs11 = errors;
if(errors === _errs11){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate27.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema45.properties.age,data:data4}];
return false;
}
}
else {
validate27.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema45.properties.age.type,parentSchema:schema45.properties.age,data:data4}];
return false;
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate27.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema45.type,parentSchema:schema45,data}];
return false;
}
}
validate27.errors = vErrors;
return errors === 0;
}
validate27.evaluated = {"props":{"host":true,"dataCentre":true,"ready":true,"capacity":true,"age":true},"dynamicProps":false,"dynamicItems":false};

const schema50 = {"type":"array","maxItems":1024,"items":{"$ref":"#/$defs/SlownessReport"}};
const schema51 = {"title":"SlownessReport","description":"Time that calls took at an endpoint relative to the expectation for its\nservice.\n","type":"object","required":["endpoint","ratio","count"],"properties":{"endpoint":{"$ref":"#/$defs/Engine"},"ratio":{"description":"Geometric mean of the observed ratios.","type":"number","exclusiveMinimum":0},"count":{"description":"Number of observations.","type":"number","exclusiveMinimum":0}}};
const schema52 = {"description":"One incarnation of an engine.","type":"string","minLength":1,"maxLength":300};

function validate30(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate30.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.endpoint === undefined) && (missing0 = "endpoint")) || ((data.ratio === undefined) && (missing0 = "ratio"))) || ((data.count === undefined) && (missing0 = "count"))){
validate30.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema51.required,parentSchema:schema51,data}];
return false;
}
else {
if(data.endpoint !== undefined){
let data0 = data.endpoint;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 300){
validate30.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate30.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data0}];
return false;
}
}
}
else {
validate30.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.ratio !== undefined){
let data1 = data.ratio;
const _errs4 = errors;
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 <= 0 || isNaN(data1)){
validate30.errors = [{instancePath:instancePath+"/ratio",schemaPath:"#/properties/ratio/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema51.properties.ratio,data:data1}];
return false;
}
}
else {
validate30.errors = [{instancePath:instancePath+"/ratio",schemaPath:"#/properties/ratio/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema51.properties.ratio.type,parentSchema:schema51.properties.ratio,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.count !== undefined){
let data2 = data.count;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 <= 0 || isNaN(data2)){
validate30.errors = [{instancePath:instancePath+"/count",schemaPath:"#/properties/count/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema51.properties.count,data:data2}];
return false;
}
}
else {
validate30.errors = [{instancePath:instancePath+"/count",schemaPath:"#/properties/count/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema51.properties.count.type,parentSchema:schema51.properties.count,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate30.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema51.type,parentSchema:schema51,data}];
return false;
}
}
validate30.errors = vErrors;
return errors === 0;
}
validate30.evaluated = {"props":{"endpoint":true,"ratio":true,"count":true},"dynamicProps":false,"dynamicItems":false};


function validate29(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate29.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(Array.isArray(data)){
if(data.length > 1024){
validate29.errors = [{instancePath,schemaPath:"#/maxItems",keyword:"maxItems",params:{limit: 1024},message:"must NOT have more than 1024 items",schema:1024,parentSchema:schema50,data}];
return false;
}
else {
var valid0 = true;
const len0 = data.length;
for(let i0=0; i0<len0; i0++){
const _errs1 = errors;
if(!(validate30(data[i0], {instancePath:instancePath+"/" + i0,parentData:data,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate30.errors : vErrors.concat(validate30.errors);
errors = vErrors.length;
}
var valid0 = _errs1 === errors;
if(!valid0){
break;
}
}
}
}
else {
validate29.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema50.type,parentSchema:schema50,data}];
return false;
}
}
validate29.errors = vErrors;
return errors === 0;
}
validate29.evaluated = {"items":true,"dynamicProps":false,"dynamicItems":false};


function validate26(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate26.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((data.type === undefined) && (missing0 = "type")) || ((data.version === undefined) && (missing0 = "version"))) || ((data.epoch === undefined) && (missing0 = "epoch"))) || ((data.revision === undefined) && (missing0 = "revision"))) || ((data.mark === undefined) && (missing0 = "mark"))) || ((data.host === undefined) && (missing0 = "host"))){
validate26.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema42.required,parentSchema:schema42,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate26.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.type.type,parentSchema:schema42.properties.type,data:data0}];
return false;
}
if("sync" !== data0){
validate26.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "sync"},message:"must be equal to constant",schema:"sync",parentSchema:schema42.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data1 = data.version;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate26.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate26.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.epoch !== undefined){
let data2 = data.epoch;
const _errs6 = errors;
if(typeof data2 !== "string"){
validate26.errors = [{instancePath:instancePath+"/epoch",schemaPath:"#/properties/epoch/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.epoch.type,parentSchema:schema42.properties.epoch,data:data2}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.revision !== undefined){
let data3 = data.revision;
const _errs8 = errors;
const _errs9 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate26.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data3}];
return false;
}
if(errors === _errs9){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate26.errors = [{instancePath:instancePath+"/revision",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.mark !== undefined){
let data4 = data.mark;
const _errs11 = errors;
if(typeof data4 !== "string"){
validate26.errors = [{instancePath:instancePath+"/mark",schemaPath:"#/properties/mark/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema42.properties.mark.type,parentSchema:schema42.properties.mark,data:data4}];
return false;
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.host !== undefined){
const _errs13 = errors;
if(!(validate27(data.host, {instancePath:instancePath+"/host",parentData:data,parentDataProperty:"host",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate27.errors : vErrors.concat(validate27.errors);
errors = vErrors.length;
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.suspectRevision !== undefined){
let data6 = data.suspectRevision;
const _errs14 = errors;
const _errs15 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate26.errors = [{instancePath:instancePath+"/suspectRevision",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data6}];
return false;
}
if(errors === _errs15){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 0 || isNaN(data6)){
validate26.errors = [{instancePath:instancePath+"/suspectRevision",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data6}];
return false;
}
}
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.evacuationOrders !== undefined){
let data7 = data.evacuationOrders;
const _errs17 = errors;
const _errs18 = errors;
if(!(((typeof data7 == "number") && (!(data7 % 1) && !isNaN(data7))) && (isFinite(data7)))){
validate26.errors = [{instancePath:instancePath+"/evacuationOrders",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data7}];
return false;
}
if(errors === _errs18){
if((typeof data7 == "number") && (isFinite(data7))){
if(data7 < 0 || isNaN(data7)){
validate26.errors = [{instancePath:instancePath+"/evacuationOrders",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data7}];
return false;
}
}
}
var valid0 = _errs17 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slowness !== undefined){
const _errs20 = errors;
if(!(validate29(data.slowness, {instancePath:instancePath+"/slowness",parentData:data,parentDataProperty:"slowness",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate29.errors : vErrors.concat(validate29.errors);
errors = vErrors.length;
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate26.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema42.type,parentSchema:schema42,data}];
return false;
}
}
validate26.errors = vErrors;
return errors === 0;
}
validate26.evaluated = {"props":{"type":true,"version":true,"epoch":true,"revision":true,"mark":true,"host":true,"suspectRevision":true,"evacuationOrders":true,"slowness":true},"dynamicProps":false,"dynamicItems":false};

const schema53 = {"title":"NoteQuestion","description":"Tells another core host of endpoints.","type":"object","required":["type","sightings"],"properties":{"type":{"type":"string","const":"note"},"sightings":{"type":"array","items":{"$ref":"#/$defs/Sighting"}}}};
const schema54 = {"title":"Sighting","description":"What an endpoint last said of itself.","type":"object","required":["id","service","address","dataCentre","version","slots","state","sequence","age"],"properties":{"id":{"$ref":"#/$defs/Name"},"born":{"description":"Unix milliseconds of its start; absent where it does not say.\n","type":"integer","minimum":0},"service":{"$ref":"#/$defs/Name"},"address":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"version":{"type":"string"},"slots":{"type":"number"},"state":{"enum":["ready","draining","gone"]},"sequence":{"type":"integer","minimum":-1},"age":{"description":"Milliseconds since it was last heard.","type":"number","minimum":0},"cold":{"description":"Milliseconds for which it is still slow after its start.","type":"number","minimum":0},"silent":{"description":"Whether its heartbeats have stopped; for entry hosts.","type":"boolean"}}};

function validate34(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate34.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((((data.id === undefined) && (missing0 = "id")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.address === undefined) && (missing0 = "address"))) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))) || ((data.version === undefined) && (missing0 = "version"))) || ((data.slots === undefined) && (missing0 = "slots"))) || ((data.state === undefined) && (missing0 = "state"))) || ((data.sequence === undefined) && (missing0 = "sequence"))) || ((data.age === undefined) && (missing0 = "age"))){
validate34.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema54.required,parentSchema:schema54,data}];
return false;
}
else {
if(data.id !== undefined){
let data0 = data.id;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 256){
validate34.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate34.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data0}];
return false;
}
}
}
else {
validate34.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.born !== undefined){
let data1 = data.born;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate34.errors = [{instancePath:instancePath+"/born",schemaPath:"#/properties/born/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema54.properties.born.type,parentSchema:schema54.properties.born,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate34.errors = [{instancePath:instancePath+"/born",schemaPath:"#/properties/born/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema54.properties.born,data:data1}];
return false;
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data2 = data.service;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 256){
validate34.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate34.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data2}];
return false;
}
}
}
else {
validate34.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.address !== undefined){
let data3 = data.address;
const _errs9 = errors;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 256){
validate34.errors = [{instancePath:instancePath+"/address",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate34.errors = [{instancePath:instancePath+"/address",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data3}];
return false;
}
}
}
else {
validate34.errors = [{instancePath:instancePath+"/address",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data3}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data4 = data.dataCentre;
const _errs12 = errors;
const _errs13 = errors;
if(errors === _errs13){
if(typeof data4 === "string"){
if(data4.length > 256){
validate34.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data4}];
return false;
}
else {
if(data4.length < 1){
validate34.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data4}];
return false;
}
}
}
else {
validate34.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data4}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data5 = data.version;
const _errs15 = errors;
if(typeof data5 !== "string"){
validate34.errors = [{instancePath:instancePath+"/version",schemaPath:"#/properties/version/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema54.properties.version.type,parentSchema:schema54.properties.version,data:data5}];
return false;
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slots !== undefined){
let data6 = data.slots;
const _errs17 = errors;
if(!((typeof data6 == "number") && (isFinite(data6)))){
validate34.errors = [{instancePath:instancePath+"/slots",schemaPath:"#/properties/slots/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema54.properties.slots.type,parentSchema:schema54.properties.slots,data:data6}];
return false;
}
var valid0 = _errs17 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.state !== undefined){
let data7 = data.state;
const _errs19 = errors;
if(!(((data7 === "ready") || (data7 === "draining")) || (data7 === "gone"))){
validate34.errors = [{instancePath:instancePath+"/state",schemaPath:"#/properties/state/enum",keyword:"enum",params:{allowedValues: schema54.properties.state.enum},message:"must be equal to one of the allowed values",schema:schema54.properties.state.enum,parentSchema:schema54.properties.state,data:data7}];
return false;
}
var valid0 = _errs19 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.sequence !== undefined){
let data8 = data.sequence;
const _errs20 = errors;
if(!(((typeof data8 == "number") && (!(data8 % 1) && !isNaN(data8))) && (isFinite(data8)))){
validate34.errors = [{instancePath:instancePath+"/sequence",schemaPath:"#/properties/sequence/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema54.properties.sequence.type,parentSchema:schema54.properties.sequence,data:data8}];
return false;
}
if(errors === _errs20){
if((typeof data8 == "number") && (isFinite(data8))){
if(data8 < -1 || isNaN(data8)){
validate34.errors = [{instancePath:instancePath+"/sequence",schemaPath:"#/properties/sequence/minimum",keyword:"minimum",params:{comparison: ">=", limit: -1},message:"must be >= -1",schema:-1,parentSchema:schema54.properties.sequence,data:data8}];
return false;
}
}
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.age !== undefined){
let data9 = data.age;
const _errs22 = errors;
if(errors === _errs22){
if((typeof data9 == "number") && (isFinite(data9))){
if(data9 < 0 || isNaN(data9)){
validate34.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema54.properties.age,data:data9}];
return false;
}
}
else {
validate34.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema54.properties.age.type,parentSchema:schema54.properties.age,data:data9}];
return false;
}
}
var valid0 = _errs22 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cold !== undefined){
let data10 = data.cold;
const _errs24 = errors;
if(errors === _errs24){
if((typeof data10 == "number") && (isFinite(data10))){
if(data10 < 0 || isNaN(data10)){
validate34.errors = [{instancePath:instancePath+"/cold",schemaPath:"#/properties/cold/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema54.properties.cold,data:data10}];
return false;
}
}
else {
validate34.errors = [{instancePath:instancePath+"/cold",schemaPath:"#/properties/cold/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema54.properties.cold.type,parentSchema:schema54.properties.cold,data:data10}];
return false;
}
}
var valid0 = _errs24 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.silent !== undefined){
let data11 = data.silent;
const _errs26 = errors;
if(typeof data11 !== "boolean"){
validate34.errors = [{instancePath:instancePath+"/silent",schemaPath:"#/properties/silent/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema54.properties.silent.type,parentSchema:schema54.properties.silent,data:data11}];
return false;
}
var valid0 = _errs26 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate34.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema54.type,parentSchema:schema54,data}];
return false;
}
}
validate34.errors = vErrors;
return errors === 0;
}
validate34.evaluated = {"props":{"id":true,"born":true,"service":true,"address":true,"dataCentre":true,"version":true,"slots":true,"state":true,"sequence":true,"age":true,"cold":true,"silent":true},"dynamicProps":false,"dynamicItems":false};


function validate33(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate33.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.sightings === undefined) && (missing0 = "sightings"))){
validate33.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema53.required,parentSchema:schema53,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate33.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema53.properties.type.type,parentSchema:schema53.properties.type,data:data0}];
return false;
}
if("note" !== data0){
validate33.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "note"},message:"must be equal to constant",schema:"note",parentSchema:schema53.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.sightings !== undefined){
let data1 = data.sightings;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate34(data1[i0], {instancePath:instancePath+"/sightings/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate34.errors : vErrors.concat(validate34.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate33.errors = [{instancePath:instancePath+"/sightings",schemaPath:"#/properties/sightings/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema53.properties.sightings.type,parentSchema:schema53.properties.sightings,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate33.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema53.type,parentSchema:schema53,data}];
return false;
}
}
validate33.errors = vErrors;
return errors === 0;
}
validate33.evaluated = {"props":{"type":true,"sightings":true},"dynamicProps":false,"dynamicItems":false};

const schema59 = {"title":"MakeQuestion","description":"Asks the batcher of a cell for pieces of one request.","type":"object","required":["type","service","cell","request","stage","pieces","bytes","remaining","rank"],"properties":{"type":{"type":"string","const":"make"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"request":{"$ref":"#/$defs/Name"},"stage":{"$ref":"#/$defs/Count"},"pieces":{"type":"array","items":{"$ref":"#/$defs/Count"}},"key":{"type":"string"},"inputs":{"type":"array","items":{"type":"string"}},"bytes":{"description":"About how large a result is.","type":"number"},"moved":{"description":"Bytes that cross to another data centre for each piece that is made away from `dataCentre`.","type":"number"},"remaining":{"description":"Milliseconds after which the results are of no use.","type":"number"},"slack":{"description":"Milliseconds within which they are wanted.","type":"number"},"rank":{"type":"number"},"dataCentre":{"type":"string"}}};
const schema61 = {"description":"Part of a service's endpoints that one batcher schedules.","type":"string","minLength":1,"maxLength":256};

function validate36(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate36.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.cell === undefined) && (missing0 = "cell"))) || ((data.request === undefined) && (missing0 = "request"))) || ((data.stage === undefined) && (missing0 = "stage"))) || ((data.pieces === undefined) && (missing0 = "pieces"))) || ((data.bytes === undefined) && (missing0 = "bytes"))) || ((data.remaining === undefined) && (missing0 = "remaining"))) || ((data.rank === undefined) && (missing0 = "rank"))){
validate36.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema59.required,parentSchema:schema59,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate36.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema59.properties.type.type,parentSchema:schema59.properties.type,data:data0}];
return false;
}
if("make" !== data0){
validate36.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "make"},message:"must be equal to constant",schema:"make",parentSchema:schema59.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate36.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate36.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate36.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cell !== undefined){
let data2 = data.cell;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 256){
validate36.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema61,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate36.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema61,data:data2}];
return false;
}
}
}
else {
validate36.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema61.type,parentSchema:schema61,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.request !== undefined){
let data3 = data.request;
const _errs9 = errors;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 256){
validate36.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate36.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data3}];
return false;
}
}
}
else {
validate36.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data3}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.stage !== undefined){
let data4 = data.stage;
const _errs12 = errors;
const _errs13 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate36.errors = [{instancePath:instancePath+"/stage",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data4}];
return false;
}
if(errors === _errs13){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate36.errors = [{instancePath:instancePath+"/stage",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data4}];
return false;
}
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.pieces !== undefined){
let data5 = data.pieces;
const _errs15 = errors;
if(errors === _errs15){
if(Array.isArray(data5)){
var valid5 = true;
const len0 = data5.length;
for(let i0=0; i0<len0; i0++){
let data6 = data5[i0];
const _errs17 = errors;
const _errs18 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate36.errors = [{instancePath:instancePath+"/pieces/" + i0,schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data6}];
return false;
}
if(errors === _errs18){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 0 || isNaN(data6)){
validate36.errors = [{instancePath:instancePath+"/pieces/" + i0,schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data6}];
return false;
}
}
}
var valid5 = _errs17 === errors;
if(!valid5){
break;
}
}
}
else {
validate36.errors = [{instancePath:instancePath+"/pieces",schemaPath:"#/properties/pieces/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema59.properties.pieces.type,parentSchema:schema59.properties.pieces,data:data5}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.key !== undefined){
let data7 = data.key;
const _errs20 = errors;
if(typeof data7 !== "string"){
validate36.errors = [{instancePath:instancePath+"/key",schemaPath:"#/properties/key/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema59.properties.key.type,parentSchema:schema59.properties.key,data:data7}];
return false;
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.inputs !== undefined){
let data8 = data.inputs;
const _errs22 = errors;
if(errors === _errs22){
if(Array.isArray(data8)){
var valid7 = true;
const len1 = data8.length;
for(let i1=0; i1<len1; i1++){
let data9 = data8[i1];
const _errs24 = errors;
if(typeof data9 !== "string"){
validate36.errors = [{instancePath:instancePath+"/inputs/" + i1,schemaPath:"#/properties/inputs/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema59.properties.inputs.items.type,parentSchema:schema59.properties.inputs.items,data:data9}];
return false;
}
var valid7 = _errs24 === errors;
if(!valid7){
break;
}
}
}
else {
validate36.errors = [{instancePath:instancePath+"/inputs",schemaPath:"#/properties/inputs/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema59.properties.inputs.type,parentSchema:schema59.properties.inputs,data:data8}];
return false;
}
}
var valid0 = _errs22 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.bytes !== undefined){
let data10 = data.bytes;
const _errs26 = errors;
if(!((typeof data10 == "number") && (isFinite(data10)))){
validate36.errors = [{instancePath:instancePath+"/bytes",schemaPath:"#/properties/bytes/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema59.properties.bytes.type,parentSchema:schema59.properties.bytes,data:data10}];
return false;
}
var valid0 = _errs26 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.moved !== undefined){
let data11 = data.moved;
const _errs28 = errors;
if(!((typeof data11 == "number") && (isFinite(data11)))){
validate36.errors = [{instancePath:instancePath+"/moved",schemaPath:"#/properties/moved/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema59.properties.moved.type,parentSchema:schema59.properties.moved,data:data11}];
return false;
}
var valid0 = _errs28 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.remaining !== undefined){
let data12 = data.remaining;
const _errs30 = errors;
if(!((typeof data12 == "number") && (isFinite(data12)))){
validate36.errors = [{instancePath:instancePath+"/remaining",schemaPath:"#/properties/remaining/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema59.properties.remaining.type,parentSchema:schema59.properties.remaining,data:data12}];
return false;
}
var valid0 = _errs30 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slack !== undefined){
let data13 = data.slack;
const _errs32 = errors;
if(!((typeof data13 == "number") && (isFinite(data13)))){
validate36.errors = [{instancePath:instancePath+"/slack",schemaPath:"#/properties/slack/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema59.properties.slack.type,parentSchema:schema59.properties.slack,data:data13}];
return false;
}
var valid0 = _errs32 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rank !== undefined){
let data14 = data.rank;
const _errs34 = errors;
if(!((typeof data14 == "number") && (isFinite(data14)))){
validate36.errors = [{instancePath:instancePath+"/rank",schemaPath:"#/properties/rank/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema59.properties.rank.type,parentSchema:schema59.properties.rank,data:data14}];
return false;
}
var valid0 = _errs34 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data15 = data.dataCentre;
const _errs36 = errors;
if(typeof data15 !== "string"){
validate36.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/properties/dataCentre/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema59.properties.dataCentre.type,parentSchema:schema59.properties.dataCentre,data:data15}];
return false;
}
var valid0 = _errs36 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate36.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema59.type,parentSchema:schema59,data}];
return false;
}
}
validate36.errors = vErrors;
return errors === 0;
}
validate36.evaluated = {"props":{"type":true,"service":true,"cell":true,"request":true,"stage":true,"pieces":true,"key":true,"inputs":true,"bytes":true,"moved":true,"remaining":true,"slack":true,"rank":true,"dataCentre":true},"dynamicProps":false,"dynamicItems":false};

const schema65 = {"title":"BookQuestion","description":"Announces pieces that will be asked for, and asks how long they would\nwait.\n","type":"object","required":["type","service","cell","request","stage","pieces","slack","rank"],"properties":{"type":{"type":"string","const":"book"},"service":{"$ref":"#/$defs/Name"},"cell":{"$ref":"#/$defs/Cell"},"request":{"$ref":"#/$defs/Name"},"stage":{"$ref":"#/$defs/Count"},"pieces":{"$ref":"#/$defs/Count"},"slack":{"type":"number"},"rank":{"type":"number"},"bytes":{"description":"Size of a piece's result; absent from hosts of earlier releases.","type":"number"}}};

function validate37(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate37.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.cell === undefined) && (missing0 = "cell"))) || ((data.request === undefined) && (missing0 = "request"))) || ((data.stage === undefined) && (missing0 = "stage"))) || ((data.pieces === undefined) && (missing0 = "pieces"))) || ((data.slack === undefined) && (missing0 = "slack"))) || ((data.rank === undefined) && (missing0 = "rank"))){
validate37.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema65.required,parentSchema:schema65,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate37.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema65.properties.type.type,parentSchema:schema65.properties.type,data:data0}];
return false;
}
if("book" !== data0){
validate37.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "book"},message:"must be equal to constant",schema:"book",parentSchema:schema65.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate37.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate37.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate37.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.cell !== undefined){
let data2 = data.cell;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 256){
validate37.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema61,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate37.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema61,data:data2}];
return false;
}
}
}
else {
validate37.errors = [{instancePath:instancePath+"/cell",schemaPath:"#/$defs/Cell/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema61.type,parentSchema:schema61,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.request !== undefined){
let data3 = data.request;
const _errs9 = errors;
const _errs10 = errors;
if(errors === _errs10){
if(typeof data3 === "string"){
if(data3.length > 256){
validate37.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate37.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data3}];
return false;
}
}
}
else {
validate37.errors = [{instancePath:instancePath+"/request",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data3}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.stage !== undefined){
let data4 = data.stage;
const _errs12 = errors;
const _errs13 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate37.errors = [{instancePath:instancePath+"/stage",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data4}];
return false;
}
if(errors === _errs13){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate37.errors = [{instancePath:instancePath+"/stage",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data4}];
return false;
}
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.pieces !== undefined){
let data5 = data.pieces;
const _errs15 = errors;
const _errs16 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate37.errors = [{instancePath:instancePath+"/pieces",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data5}];
return false;
}
if(errors === _errs16){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate37.errors = [{instancePath:instancePath+"/pieces",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data5}];
return false;
}
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slack !== undefined){
let data6 = data.slack;
const _errs18 = errors;
if(!((typeof data6 == "number") && (isFinite(data6)))){
validate37.errors = [{instancePath:instancePath+"/slack",schemaPath:"#/properties/slack/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema65.properties.slack.type,parentSchema:schema65.properties.slack,data:data6}];
return false;
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rank !== undefined){
let data7 = data.rank;
const _errs20 = errors;
if(!((typeof data7 == "number") && (isFinite(data7)))){
validate37.errors = [{instancePath:instancePath+"/rank",schemaPath:"#/properties/rank/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema65.properties.rank.type,parentSchema:schema65.properties.rank,data:data7}];
return false;
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.bytes !== undefined){
let data8 = data.bytes;
const _errs22 = errors;
if(!((typeof data8 == "number") && (isFinite(data8)))){
validate37.errors = [{instancePath:instancePath+"/bytes",schemaPath:"#/properties/bytes/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema65.properties.bytes.type,parentSchema:schema65.properties.bytes,data:data8}];
return false;
}
var valid0 = _errs22 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate37.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema65.type,parentSchema:schema65,data}];
return false;
}
}
validate37.errors = vErrors;
return errors === 0;
}
validate37.evaluated = {"props":{"type":true,"service":true,"cell":true,"request":true,"stage":true,"pieces":true,"slack":true,"rank":true,"bytes":true},"dynamicProps":false,"dynamicItems":false};

const schema71 = {"title":"PlaceQuestion","description":"Asks the owner of a partition of engines which of them a prompt goes to.\n","type":"object","required":["type","service","partition","prompt","tried","sent"],"properties":{"type":{"type":"string","const":"place"},"service":{"$ref":"#/$defs/Name"},"partition":{"$ref":"#/$defs/Cell"},"prompt":{"$ref":"#/$defs/Prompt"},"planned":{"description":"Engine that the prompt's inputs were made near.","$ref":"#/$defs/Engine"},"version":{"description":"Software version that the engine must have.","$ref":"#/$defs/Name"},"tried":{"description":"Engines that were called for the request before.","type":"array","items":{"$ref":"#/$defs/Engine"}},"sent":{"description":"Whether the prompt goes there now; else it is a forecast.","type":"boolean"}}};
const schema74 = {"title":"Prompt","type":"object","required":["model","inputTokens","outputTokens","parts"],"properties":{"model":{"type":"string"},"inputTokens":{"type":"number","minimum":0},"outputTokens":{"type":"number","minimum":0},"parts":{"type":"array","items":{"$ref":"#/$defs/PromptPart"}}}};
const schema75 = {"title":"PromptPart","type":"object","required":["id","tokens"],"properties":{"id":{"$ref":"#/$defs/Name"},"tokens":{"type":"number","minimum":0}}};

function validate40(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate40.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.id === undefined) && (missing0 = "id")) || ((data.tokens === undefined) && (missing0 = "tokens"))){
validate40.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema75.required,parentSchema:schema75,data}];
return false;
}
else {
if(data.id !== undefined){
let data0 = data.id;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 256){
validate40.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate40.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data0}];
return false;
}
}
}
else {
validate40.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.tokens !== undefined){
let data1 = data.tokens;
const _errs4 = errors;
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate40.errors = [{instancePath:instancePath+"/tokens",schemaPath:"#/properties/tokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema75.properties.tokens,data:data1}];
return false;
}
}
else {
validate40.errors = [{instancePath:instancePath+"/tokens",schemaPath:"#/properties/tokens/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema75.properties.tokens.type,parentSchema:schema75.properties.tokens,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate40.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema75.type,parentSchema:schema75,data}];
return false;
}
}
validate40.errors = vErrors;
return errors === 0;
}
validate40.evaluated = {"props":{"id":true,"tokens":true},"dynamicProps":false,"dynamicItems":false};


function validate39(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate39.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.model === undefined) && (missing0 = "model")) || ((data.inputTokens === undefined) && (missing0 = "inputTokens"))) || ((data.outputTokens === undefined) && (missing0 = "outputTokens"))) || ((data.parts === undefined) && (missing0 = "parts"))){
validate39.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema74.required,parentSchema:schema74,data}];
return false;
}
else {
if(data.model !== undefined){
let data0 = data.model;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate39.errors = [{instancePath:instancePath+"/model",schemaPath:"#/properties/model/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema74.properties.model.type,parentSchema:schema74.properties.model,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.inputTokens !== undefined){
let data1 = data.inputTokens;
const _errs3 = errors;
if(errors === _errs3){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate39.errors = [{instancePath:instancePath+"/inputTokens",schemaPath:"#/properties/inputTokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema74.properties.inputTokens,data:data1}];
return false;
}
}
else {
validate39.errors = [{instancePath:instancePath+"/inputTokens",schemaPath:"#/properties/inputTokens/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema74.properties.inputTokens.type,parentSchema:schema74.properties.inputTokens,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.outputTokens !== undefined){
let data2 = data.outputTokens;
const _errs5 = errors;
if(errors === _errs5){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate39.errors = [{instancePath:instancePath+"/outputTokens",schemaPath:"#/properties/outputTokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema74.properties.outputTokens,data:data2}];
return false;
}
}
else {
validate39.errors = [{instancePath:instancePath+"/outputTokens",schemaPath:"#/properties/outputTokens/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema74.properties.outputTokens.type,parentSchema:schema74.properties.outputTokens,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.parts !== undefined){
let data3 = data.parts;
const _errs7 = errors;
if(errors === _errs7){
if(Array.isArray(data3)){
var valid1 = true;
const len0 = data3.length;
for(let i0=0; i0<len0; i0++){
const _errs9 = errors;
if(!(validate40(data3[i0], {instancePath:instancePath+"/parts/" + i0,parentData:data3,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate40.errors : vErrors.concat(validate40.errors);
errors = vErrors.length;
}
var valid1 = _errs9 === errors;
if(!valid1){
break;
}
}
}
else {
validate39.errors = [{instancePath:instancePath+"/parts",schemaPath:"#/properties/parts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema74.properties.parts.type,parentSchema:schema74.properties.parts,data:data3}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate39.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema74.type,parentSchema:schema74,data}];
return false;
}
}
validate39.errors = vErrors;
return errors === 0;
}
validate39.evaluated = {"props":{"model":true,"inputTokens":true,"outputTokens":true,"parts":true},"dynamicProps":false,"dynamicItems":false};


function validate38(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate38.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.partition === undefined) && (missing0 = "partition"))) || ((data.prompt === undefined) && (missing0 = "prompt"))) || ((data.tried === undefined) && (missing0 = "tried"))) || ((data.sent === undefined) && (missing0 = "sent"))){
validate38.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema71.required,parentSchema:schema71,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate38.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema71.properties.type.type,parentSchema:schema71.properties.type,data:data0}];
return false;
}
if("place" !== data0){
validate38.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "place"},message:"must be equal to constant",schema:"place",parentSchema:schema71.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate38.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate38.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate38.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.partition !== undefined){
let data2 = data.partition;
const _errs6 = errors;
const _errs7 = errors;
if(errors === _errs7){
if(typeof data2 === "string"){
if(data2.length > 256){
validate38.errors = [{instancePath:instancePath+"/partition",schemaPath:"#/$defs/Cell/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema61,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate38.errors = [{instancePath:instancePath+"/partition",schemaPath:"#/$defs/Cell/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema61,data:data2}];
return false;
}
}
}
else {
validate38.errors = [{instancePath:instancePath+"/partition",schemaPath:"#/$defs/Cell/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema61.type,parentSchema:schema61,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.prompt !== undefined){
const _errs9 = errors;
if(!(validate39(data.prompt, {instancePath:instancePath+"/prompt",parentData:data,parentDataProperty:"prompt",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate39.errors : vErrors.concat(validate39.errors);
errors = vErrors.length;
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.planned !== undefined){
let data4 = data.planned;
const _errs10 = errors;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data4 === "string"){
if(data4.length > 300){
validate38.errors = [{instancePath:instancePath+"/planned",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data4}];
return false;
}
else {
if(data4.length < 1){
validate38.errors = [{instancePath:instancePath+"/planned",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data4}];
return false;
}
}
}
else {
validate38.errors = [{instancePath:instancePath+"/planned",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data4}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data5 = data.version;
const _errs13 = errors;
const _errs14 = errors;
if(errors === _errs14){
if(typeof data5 === "string"){
if(data5.length > 256){
validate38.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data5}];
return false;
}
else {
if(data5.length < 1){
validate38.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data5}];
return false;
}
}
}
else {
validate38.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data5}];
return false;
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.tried !== undefined){
let data6 = data.tried;
const _errs16 = errors;
if(errors === _errs16){
if(Array.isArray(data6)){
var valid5 = true;
const len0 = data6.length;
for(let i0=0; i0<len0; i0++){
let data7 = data6[i0];
const _errs18 = errors;
const _errs19 = errors;
if(errors === _errs19){
if(typeof data7 === "string"){
if(data7.length > 300){
validate38.errors = [{instancePath:instancePath+"/tried/" + i0,schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data7}];
return false;
}
else {
if(data7.length < 1){
validate38.errors = [{instancePath:instancePath+"/tried/" + i0,schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data7}];
return false;
}
}
}
else {
validate38.errors = [{instancePath:instancePath+"/tried/" + i0,schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data7}];
return false;
}
}
var valid5 = _errs18 === errors;
if(!valid5){
break;
}
}
}
else {
validate38.errors = [{instancePath:instancePath+"/tried",schemaPath:"#/properties/tried/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema71.properties.tried.type,parentSchema:schema71.properties.tried,data:data6}];
return false;
}
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.sent !== undefined){
let data8 = data.sent;
const _errs21 = errors;
if(typeof data8 !== "boolean"){
validate38.errors = [{instancePath:instancePath+"/sent",schemaPath:"#/properties/sent/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema71.properties.sent.type,parentSchema:schema71.properties.sent,data:data8}];
return false;
}
var valid0 = _errs21 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
else {
validate38.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema71.type,parentSchema:schema71,data}];
return false;
}
}
validate38.errors = vErrors;
return errors === 0;
}
validate38.evaluated = {"props":{"type":true,"service":true,"partition":true,"prompt":true,"planned":true,"version":true,"tried":true,"sent":true},"dynamicProps":false,"dynamicItems":false};

const schema80 = {"title":"SuspectsQuestion","description":"Tells a core host of requests that may crash endpoints.","type":"object","required":["type","suspects"],"properties":{"type":{"type":"string","const":"suspects"},"suspects":{"type":"array","items":{"$ref":"#/$defs/Suspect"}}}};
const schema81 = {"title":"Suspect","description":"What is known of a request, or a prompt part, that may crash endpoints.","type":"object","required":["fingerprint","crashes","acquittals","trials"],"properties":{"fingerprint":{"type":"string","minLength":1,"maxLength":64},"crashes":{"type":"array","maxItems":64,"items":{"$ref":"#/$defs/Crash"}},"acquittals":{"$ref":"#/$defs/Count"},"trials":{"$ref":"#/$defs/Count"},"answers":{"description":"Most whole answers on the part that a host has seen.","$ref":"#/$defs/Count"}}};
const schema82 = {"title":"Crash","type":"object","required":["endpoint","age"],"properties":{"endpoint":{"$ref":"#/$defs/Engine"},"age":{"description":"Milliseconds since the call broke.","type":"number","minimum":0},"refuted":{"description":"Whether the endpoint was heard again since.","type":"boolean"}}};

function validate45(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate45.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.endpoint === undefined) && (missing0 = "endpoint")) || ((data.age === undefined) && (missing0 = "age"))){
validate45.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema82.required,parentSchema:schema82,data}];
return false;
}
else {
if(data.endpoint !== undefined){
let data0 = data.endpoint;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 300){
validate45.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate45.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data0}];
return false;
}
}
}
else {
validate45.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.age !== undefined){
let data1 = data.age;
const _errs4 = errors;
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate45.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema82.properties.age,data:data1}];
return false;
}
}
else {
validate45.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema82.properties.age.type,parentSchema:schema82.properties.age,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.refuted !== undefined){
let data2 = data.refuted;
const _errs6 = errors;
if(typeof data2 !== "boolean"){
validate45.errors = [{instancePath:instancePath+"/refuted",schemaPath:"#/properties/refuted/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema82.properties.refuted.type,parentSchema:schema82.properties.refuted,data:data2}];
return false;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate45.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema82.type,parentSchema:schema82,data}];
return false;
}
}
validate45.errors = vErrors;
return errors === 0;
}
validate45.evaluated = {"props":{"endpoint":true,"age":true,"refuted":true},"dynamicProps":false,"dynamicItems":false};


function validate44(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate44.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.fingerprint === undefined) && (missing0 = "fingerprint")) || ((data.crashes === undefined) && (missing0 = "crashes"))) || ((data.acquittals === undefined) && (missing0 = "acquittals"))) || ((data.trials === undefined) && (missing0 = "trials"))){
validate44.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema81.required,parentSchema:schema81,data}];
return false;
}
else {
if(data.fingerprint !== undefined){
let data0 = data.fingerprint;
const _errs1 = errors;
if(errors === _errs1){
if(typeof data0 === "string"){
if(data0.length > 64){
validate44.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema81.properties.fingerprint,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate44.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema81.properties.fingerprint,data:data0}];
return false;
}
}
}
else {
validate44.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema81.properties.fingerprint.type,parentSchema:schema81.properties.fingerprint,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.crashes !== undefined){
let data1 = data.crashes;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
if(data1.length > 64){
validate44.errors = [{instancePath:instancePath+"/crashes",schemaPath:"#/properties/crashes/maxItems",keyword:"maxItems",params:{limit: 64},message:"must NOT have more than 64 items",schema:64,parentSchema:schema81.properties.crashes,data:data1}];
return false;
}
else {
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate45(data1[i0], {instancePath:instancePath+"/crashes/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate45.errors : vErrors.concat(validate45.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate44.errors = [{instancePath:instancePath+"/crashes",schemaPath:"#/properties/crashes/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema81.properties.crashes.type,parentSchema:schema81.properties.crashes,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.acquittals !== undefined){
let data3 = data.acquittals;
const _errs6 = errors;
const _errs7 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate44.errors = [{instancePath:instancePath+"/acquittals",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data3}];
return false;
}
if(errors === _errs7){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate44.errors = [{instancePath:instancePath+"/acquittals",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data3}];
return false;
}
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.trials !== undefined){
let data4 = data.trials;
const _errs9 = errors;
const _errs10 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate44.errors = [{instancePath:instancePath+"/trials",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data4}];
return false;
}
if(errors === _errs10){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate44.errors = [{instancePath:instancePath+"/trials",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data4}];
return false;
}
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.answers !== undefined){
let data5 = data.answers;
const _errs12 = errors;
const _errs13 = errors;
if(!(((typeof data5 == "number") && (!(data5 % 1) && !isNaN(data5))) && (isFinite(data5)))){
validate44.errors = [{instancePath:instancePath+"/answers",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data5}];
return false;
}
if(errors === _errs13){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate44.errors = [{instancePath:instancePath+"/answers",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data5}];
return false;
}
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate44.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema81.type,parentSchema:schema81,data}];
return false;
}
}
validate44.errors = vErrors;
return errors === 0;
}
validate44.evaluated = {"props":{"fingerprint":true,"crashes":true,"acquittals":true,"trials":true,"answers":true},"dynamicProps":false,"dynamicItems":false};


function validate43(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate43.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.suspects === undefined) && (missing0 = "suspects"))){
validate43.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema80.required,parentSchema:schema80,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate43.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema80.properties.type.type,parentSchema:schema80.properties.type,data:data0}];
return false;
}
if("suspects" !== data0){
validate43.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "suspects"},message:"must be equal to constant",schema:"suspects",parentSchema:schema80.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.suspects !== undefined){
let data1 = data.suspects;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate44(data1[i0], {instancePath:instancePath+"/suspects/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate44.errors : vErrors.concat(validate44.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate43.errors = [{instancePath:instancePath+"/suspects",schemaPath:"#/properties/suspects/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema80.properties.suspects.type,parentSchema:schema80.properties.suspects,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate43.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema80.type,parentSchema:schema80,data}];
return false;
}
}
validate43.errors = vErrors;
return errors === 0;
}
validate43.evaluated = {"props":{"type":true,"suspects":true},"dynamicProps":false,"dynamicItems":false};

const schema87 = {"title":"LeaseQuestion","description":"Asks for a lease to run a suspected request: it runs at one endpoint of the\nfleet at a time, and no other suspected one runs there.\n","type":"object","required":["type","fingerprint","endpoint","remaining"],"properties":{"type":{"type":"string","const":"lease"},"fingerprint":{"type":"string","minLength":1,"maxLength":64},"endpoint":{"$ref":"#/$defs/Engine"},"remaining":{"description":"Milliseconds after which its run has ended.","type":"number","minimum":0}}};

function validate48(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate48.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.fingerprint === undefined) && (missing0 = "fingerprint"))) || ((data.endpoint === undefined) && (missing0 = "endpoint"))) || ((data.remaining === undefined) && (missing0 = "remaining"))){
validate48.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema87.required,parentSchema:schema87,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate48.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema87.properties.type.type,parentSchema:schema87.properties.type,data:data0}];
return false;
}
if("lease" !== data0){
validate48.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "lease"},message:"must be equal to constant",schema:"lease",parentSchema:schema87.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.fingerprint !== undefined){
let data1 = data.fingerprint;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data1 === "string"){
if(data1.length > 64){
validate48.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema87.properties.fingerprint,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate48.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema87.properties.fingerprint,data:data1}];
return false;
}
}
}
else {
validate48.errors = [{instancePath:instancePath+"/fingerprint",schemaPath:"#/properties/fingerprint/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema87.properties.fingerprint.type,parentSchema:schema87.properties.fingerprint,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpoint !== undefined){
let data2 = data.endpoint;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length > 300){
validate48.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate48.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data2}];
return false;
}
}
}
else {
validate48.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data2}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.remaining !== undefined){
let data3 = data.remaining;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate48.errors = [{instancePath:instancePath+"/remaining",schemaPath:"#/properties/remaining/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema87.properties.remaining,data:data3}];
return false;
}
}
else {
validate48.errors = [{instancePath:instancePath+"/remaining",schemaPath:"#/properties/remaining/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema87.properties.remaining.type,parentSchema:schema87.properties.remaining,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate48.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema87.type,parentSchema:schema87,data}];
return false;
}
}
validate48.errors = vErrors;
return errors === 0;
}
validate48.evaluated = {"props":{"type":true,"fingerprint":true,"endpoint":true,"remaining":true},"dynamicProps":false,"dynamicItems":false};

const schema89 = {"title":"QuotaQuestion","description":"Asks for a grant to send one request to a limited endpoint.","type":"object","required":["type","limit"],"properties":{"type":{"type":"string","const":"quota"},"limit":{"$ref":"#/$defs/EndpointLimit"}}};
const schema90 = {"title":"EndpointLimit","description":"A rate limit that an endpoint has named in its answers.","type":"object","required":["endpoint","limit","age"],"properties":{"endpoint":{"$ref":"#/$defs/Engine"},"limit":{"description":"Requests a second from all hosts together.","type":"number","minimum":0},"age":{"description":"Milliseconds since an answer named it.","type":"number","minimum":0},"ended":{"description":"Milliseconds since answers name none any more.","type":"number","minimum":0}}};

function validate50(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate50.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.endpoint === undefined) && (missing0 = "endpoint")) || ((data.limit === undefined) && (missing0 = "limit"))) || ((data.age === undefined) && (missing0 = "age"))){
validate50.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema90.required,parentSchema:schema90,data}];
return false;
}
else {
if(data.endpoint !== undefined){
let data0 = data.endpoint;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 300){
validate50.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate50.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data0}];
return false;
}
}
}
else {
validate50.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.limit !== undefined){
let data1 = data.limit;
const _errs4 = errors;
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate50.errors = [{instancePath:instancePath+"/limit",schemaPath:"#/properties/limit/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema90.properties.limit,data:data1}];
return false;
}
}
else {
validate50.errors = [{instancePath:instancePath+"/limit",schemaPath:"#/properties/limit/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema90.properties.limit.type,parentSchema:schema90.properties.limit,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.age !== undefined){
let data2 = data.age;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate50.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema90.properties.age,data:data2}];
return false;
}
}
else {
validate50.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema90.properties.age.type,parentSchema:schema90.properties.age,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.ended !== undefined){
let data3 = data.ended;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate50.errors = [{instancePath:instancePath+"/ended",schemaPath:"#/properties/ended/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema90.properties.ended,data:data3}];
return false;
}
}
else {
validate50.errors = [{instancePath:instancePath+"/ended",schemaPath:"#/properties/ended/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema90.properties.ended.type,parentSchema:schema90.properties.ended,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate50.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema90.type,parentSchema:schema90,data}];
return false;
}
}
validate50.errors = vErrors;
return errors === 0;
}
validate50.evaluated = {"props":{"endpoint":true,"limit":true,"age":true,"ended":true},"dynamicProps":false,"dynamicItems":false};


function validate49(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate49.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.limit === undefined) && (missing0 = "limit"))){
validate49.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema89.required,parentSchema:schema89,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate49.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema89.properties.type.type,parentSchema:schema89.properties.type,data:data0}];
return false;
}
if("quota" !== data0){
validate49.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "quota"},message:"must be equal to constant",schema:"quota",parentSchema:schema89.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.limit !== undefined){
const _errs3 = errors;
if(!(validate50(data.limit, {instancePath:instancePath+"/limit",parentData:data,parentDataProperty:"limit",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate50.errors : vErrors.concat(validate50.errors);
errors = vErrors.length;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate49.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema89.type,parentSchema:schema89,data}];
return false;
}
}
validate49.errors = vErrors;
return errors === 0;
}
validate49.evaluated = {"props":{"type":true,"limit":true},"dynamicProps":false,"dynamicItems":false};

const schema92 = {"title":"WarmupQuestion","description":"Asks for a grant to send one request to a cold endpoint.","type":"object","required":["type","endpoint","rate"],"properties":{"type":{"type":"string","const":"warmup"},"endpoint":{"$ref":"#/$defs/Engine"},"rate":{"description":"Requests a second from all hosts together.","type":"number","exclusiveMinimum":0}}};

function validate52(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate52.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.endpoint === undefined) && (missing0 = "endpoint"))) || ((data.rate === undefined) && (missing0 = "rate"))){
validate52.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema92.required,parentSchema:schema92,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate52.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema92.properties.type.type,parentSchema:schema92.properties.type,data:data0}];
return false;
}
if("warmup" !== data0){
validate52.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "warmup"},message:"must be equal to constant",schema:"warmup",parentSchema:schema92.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpoint !== undefined){
let data1 = data.endpoint;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 300){
validate52.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate52.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data1}];
return false;
}
}
}
else {
validate52.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rate !== undefined){
let data2 = data.rate;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 <= 0 || isNaN(data2)){
validate52.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/properties/rate/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema92.properties.rate,data:data2}];
return false;
}
}
else {
validate52.errors = [{instancePath:instancePath+"/rate",schemaPath:"#/properties/rate/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema92.properties.rate.type,parentSchema:schema92.properties.rate,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate52.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema92.type,parentSchema:schema92,data}];
return false;
}
}
validate52.errors = vErrors;
return errors === 0;
}
validate52.evaluated = {"props":{"type":true,"endpoint":true,"rate":true},"dynamicProps":false,"dynamicItems":false};

const schema94 = {"title":"SlotQuestion","description":"Asks for a grant to send one request to a brittle endpoint.","type":"object","required":["type","endpoint","slots","inFlight"],"properties":{"type":{"type":"string","const":"slot"},"endpoint":{"$ref":"#/$defs/Engine"},"slots":{"description":"Requests that the endpoint runs at once.","type":"integer","minimum":1},"inFlight":{"description":"The asker's requests there, granted ones included.","type":"integer","minimum":0}}};

function validate53(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate53.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.type === undefined) && (missing0 = "type")) || ((data.endpoint === undefined) && (missing0 = "endpoint"))) || ((data.slots === undefined) && (missing0 = "slots"))) || ((data.inFlight === undefined) && (missing0 = "inFlight"))){
validate53.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema94.required,parentSchema:schema94,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate53.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema94.properties.type.type,parentSchema:schema94.properties.type,data:data0}];
return false;
}
if("slot" !== data0){
validate53.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "slot"},message:"must be equal to constant",schema:"slot",parentSchema:schema94.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpoint !== undefined){
let data1 = data.endpoint;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 300){
validate53.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/maxLength",keyword:"maxLength",params:{limit: 300},message:"must NOT have more than 300 characters",schema:300,parentSchema:schema52,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate53.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema52,data:data1}];
return false;
}
}
}
else {
validate53.errors = [{instancePath:instancePath+"/endpoint",schemaPath:"#/$defs/Engine/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema52.type,parentSchema:schema52,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slots !== undefined){
let data2 = data.slots;
const _errs6 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate53.errors = [{instancePath:instancePath+"/slots",schemaPath:"#/properties/slots/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema94.properties.slots.type,parentSchema:schema94.properties.slots,data:data2}];
return false;
}
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 1 || isNaN(data2)){
validate53.errors = [{instancePath:instancePath+"/slots",schemaPath:"#/properties/slots/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema94.properties.slots,data:data2}];
return false;
}
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.inFlight !== undefined){
let data3 = data.inFlight;
const _errs8 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate53.errors = [{instancePath:instancePath+"/inFlight",schemaPath:"#/properties/inFlight/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema94.properties.inFlight.type,parentSchema:schema94.properties.inFlight,data:data3}];
return false;
}
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate53.errors = [{instancePath:instancePath+"/inFlight",schemaPath:"#/properties/inFlight/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema94.properties.inFlight,data:data3}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate53.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema94.type,parentSchema:schema94,data}];
return false;
}
}
validate53.errors = vErrors;
return errors === 0;
}
validate53.evaluated = {"props":{"type":true,"endpoint":true,"slots":true,"inFlight":true},"dynamicProps":false,"dynamicItems":false};

const schema96 = {"title":"OriginsQuestion","description":"Asks a control host to store origins of streams.","type":"object","required":["type","origins"],"properties":{"type":{"type":"string","const":"origins"},"origins":{"type":"array","items":{"$ref":"#/$defs/StreamOrigin"}}}};
const schema97 = {"title":"StreamOrigin","description":"The service and the software version at which a stream began.","type":"object","required":["stream","service","version","host","lifetime","age"],"properties":{"stream":{"$ref":"#/$defs/Stream"},"service":{"$ref":"#/$defs/Name"},"version":{"$ref":"#/$defs/Name"},"host":{"description":"Host that relayed its first event.","$ref":"#/$defs/Name"},"lifetime":{"description":"Milliseconds for which it is kept after its last use.","type":"number","minimum":0},"age":{"description":"Milliseconds since the first event.","type":"number","minimum":0}}};
const schema98 = {"description":"Digest of the account, the route and the first attempt.","type":"string","minLength":1,"maxLength":64};

function validate55(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate55.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((data.stream === undefined) && (missing0 = "stream")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.version === undefined) && (missing0 = "version"))) || ((data.host === undefined) && (missing0 = "host"))) || ((data.lifetime === undefined) && (missing0 = "lifetime"))) || ((data.age === undefined) && (missing0 = "age"))){
validate55.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema97.required,parentSchema:schema97,data}];
return false;
}
else {
if(data.stream !== undefined){
let data0 = data.stream;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 64){
validate55.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/$defs/Stream/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema98,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate55.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/$defs/Stream/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema98,data:data0}];
return false;
}
}
}
else {
validate55.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/$defs/Stream/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema98.type,parentSchema:schema98,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs4 = errors;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length > 256){
validate55.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate55.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate55.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data2 = data.version;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if(typeof data2 === "string"){
if(data2.length > 256){
validate55.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate55.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data2}];
return false;
}
}
}
else {
validate55.errors = [{instancePath:instancePath+"/version",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.host !== undefined){
let data3 = data.host;
const _errs10 = errors;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data3 === "string"){
if(data3.length > 256){
validate55.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate55.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data3}];
return false;
}
}
}
else {
validate55.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data3}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.lifetime !== undefined){
let data4 = data.lifetime;
const _errs13 = errors;
if(errors === _errs13){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate55.errors = [{instancePath:instancePath+"/lifetime",schemaPath:"#/properties/lifetime/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema97.properties.lifetime,data:data4}];
return false;
}
}
else {
validate55.errors = [{instancePath:instancePath+"/lifetime",schemaPath:"#/properties/lifetime/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema97.properties.lifetime.type,parentSchema:schema97.properties.lifetime,data:data4}];
return false;
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.age !== undefined){
let data5 = data.age;
const _errs15 = errors;
if(errors === _errs15){
if((typeof data5 == "number") && (isFinite(data5))){
if(data5 < 0 || isNaN(data5)){
validate55.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema97.properties.age,data:data5}];
return false;
}
}
else {
validate55.errors = [{instancePath:instancePath+"/age",schemaPath:"#/properties/age/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema97.properties.age.type,parentSchema:schema97.properties.age,data:data5}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate55.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema97.type,parentSchema:schema97,data}];
return false;
}
}
validate55.errors = vErrors;
return errors === 0;
}
validate55.evaluated = {"props":{"stream":true,"service":true,"version":true,"host":true,"lifetime":true,"age":true},"dynamicProps":false,"dynamicItems":false};


function validate54(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate54.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.origins === undefined) && (missing0 = "origins"))){
validate54.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema96.required,parentSchema:schema96,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate54.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema96.properties.type.type,parentSchema:schema96.properties.type,data:data0}];
return false;
}
if("origins" !== data0){
validate54.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "origins"},message:"must be equal to constant",schema:"origins",parentSchema:schema96.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.origins !== undefined){
let data1 = data.origins;
const _errs3 = errors;
if(errors === _errs3){
if(Array.isArray(data1)){
var valid1 = true;
const len0 = data1.length;
for(let i0=0; i0<len0; i0++){
const _errs5 = errors;
if(!(validate55(data1[i0], {instancePath:instancePath+"/origins/" + i0,parentData:data1,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate55.errors : vErrors.concat(validate55.errors);
errors = vErrors.length;
}
var valid1 = _errs5 === errors;
if(!valid1){
break;
}
}
}
else {
validate54.errors = [{instancePath:instancePath+"/origins",schemaPath:"#/properties/origins/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema96.properties.origins.type,parentSchema:schema96.properties.origins,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate54.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema96.type,parentSchema:schema96,data}];
return false;
}
}
validate54.errors = vErrors;
return errors === 0;
}
validate54.evaluated = {"props":{"type":true,"origins":true},"dynamicProps":false,"dynamicItems":false};

const schema102 = {"title":"OriginQuestion","description":"Asks a control host for the origin of a stream.","type":"object","required":["type","stream"],"properties":{"type":{"type":"string","const":"origin"},"stream":{"$ref":"#/$defs/Stream"}}};

function validate57(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate57.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.type === undefined) && (missing0 = "type")) || ((data.stream === undefined) && (missing0 = "stream"))){
validate57.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema102.required,parentSchema:schema102,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate57.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema102.properties.type.type,parentSchema:schema102.properties.type,data:data0}];
return false;
}
if("origin" !== data0){
validate57.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "origin"},message:"must be equal to constant",schema:"origin",parentSchema:schema102.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.stream !== undefined){
let data1 = data.stream;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 64){
validate57.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/$defs/Stream/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema98,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate57.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/$defs/Stream/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema98,data:data1}];
return false;
}
}
}
else {
validate57.errors = [{instancePath:instancePath+"/stream",schemaPath:"#/$defs/Stream/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema98.type,parentSchema:schema98,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
else {
validate57.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema102.type,parentSchema:schema102,data}];
return false;
}
}
validate57.errors = vErrors;
return errors === 0;
}
validate57.evaluated = {"props":{"type":true,"stream":true},"dynamicProps":false,"dynamicItems":false};

const schema104 = {"title":"VersionsQuestion","description":"Asks a control host which software versions of a service it has reported.\n","type":"object","required":["type","service","period"],"properties":{"type":{"type":"string","const":"versions"},"service":{"$ref":"#/$defs/Name"},"period":{"description":"Milliseconds up to now that count.","type":"number","minimum":0}}};

function validate58(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate58.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.period === undefined) && (missing0 = "period"))){
validate58.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema104.required,parentSchema:schema104,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate58.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema104.properties.type.type,parentSchema:schema104.properties.type,data:data0}];
return false;
}
if("versions" !== data0){
validate58.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "versions"},message:"must be equal to constant",schema:"versions",parentSchema:schema104.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate58.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate58.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate58.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.period !== undefined){
let data2 = data.period;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate58.errors = [{instancePath:instancePath+"/period",schemaPath:"#/properties/period/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema104.properties.period,data:data2}];
return false;
}
}
else {
validate58.errors = [{instancePath:instancePath+"/period",schemaPath:"#/properties/period/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema104.properties.period.type,parentSchema:schema104.properties.period,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate58.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema104.type,parentSchema:schema104,data}];
return false;
}
}
validate58.errors = vErrors;
return errors === 0;
}
validate58.evaluated = {"props":{"type":true,"service":true,"period":true},"dynamicProps":false,"dynamicItems":false};

const schema106 = {"title":"SharesQuestion","description":"Reports what client accounts asked of a service and asks for their shares.\nCosts are sums over `span`.\n","type":"object","required":["type","service","span","admitted","denied","accounts"],"properties":{"type":{"type":"string","const":"shares"},"service":{"$ref":"#/$defs/Name"},"span":{"description":"Milliseconds that the sums cover.","type":"number","exclusiveMinimum":0},"admitted":{"description":"Cost of requests that no share refused.","type":"number","minimum":0},"denied":{"description":"Cost of those that ended late or for lack of capacity.","type":"number","minimum":0},"accounts":{"type":"array","items":{"$ref":"#/$defs/AccountUse"}}}};
const schema108 = {"title":"AccountUse","type":"object","required":["account","rank","offered","served"],"properties":{"account":{"description":"Empty for requests without an account.","type":"string","maxLength":256},"rank":{"$ref":"#/$defs/Count"},"offered":{"type":"number","minimum":0},"served":{"type":"number","minimum":0}}};

function validate60(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate60.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.account === undefined) && (missing0 = "account")) || ((data.rank === undefined) && (missing0 = "rank"))) || ((data.offered === undefined) && (missing0 = "offered"))) || ((data.served === undefined) && (missing0 = "served"))){
validate60.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema108.required,parentSchema:schema108,data}];
return false;
}
else {
if(data.account !== undefined){
let data0 = data.account;
const _errs1 = errors;
if(errors === _errs1){
if(typeof data0 === "string"){
if(data0.length > 256){
validate60.errors = [{instancePath:instancePath+"/account",schemaPath:"#/properties/account/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema108.properties.account,data:data0}];
return false;
}
}
else {
validate60.errors = [{instancePath:instancePath+"/account",schemaPath:"#/properties/account/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema108.properties.account.type,parentSchema:schema108.properties.account,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.rank !== undefined){
let data1 = data.rank;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate60.errors = [{instancePath:instancePath+"/rank",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate60.errors = [{instancePath:instancePath+"/rank",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.offered !== undefined){
let data2 = data.offered;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate60.errors = [{instancePath:instancePath+"/offered",schemaPath:"#/properties/offered/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema108.properties.offered,data:data2}];
return false;
}
}
else {
validate60.errors = [{instancePath:instancePath+"/offered",schemaPath:"#/properties/offered/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema108.properties.offered.type,parentSchema:schema108.properties.offered,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.served !== undefined){
let data3 = data.served;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate60.errors = [{instancePath:instancePath+"/served",schemaPath:"#/properties/served/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema108.properties.served,data:data3}];
return false;
}
}
else {
validate60.errors = [{instancePath:instancePath+"/served",schemaPath:"#/properties/served/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema108.properties.served.type,parentSchema:schema108.properties.served,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate60.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema108.type,parentSchema:schema108,data}];
return false;
}
}
validate60.errors = vErrors;
return errors === 0;
}
validate60.evaluated = {"props":{"account":true,"rank":true,"offered":true,"served":true},"dynamicProps":false,"dynamicItems":false};


function validate59(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate59.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((((data.type === undefined) && (missing0 = "type")) || ((data.service === undefined) && (missing0 = "service"))) || ((data.span === undefined) && (missing0 = "span"))) || ((data.admitted === undefined) && (missing0 = "admitted"))) || ((data.denied === undefined) && (missing0 = "denied"))) || ((data.accounts === undefined) && (missing0 = "accounts"))){
validate59.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema106.required,parentSchema:schema106,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate59.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema106.properties.type.type,parentSchema:schema106.properties.type,data:data0}];
return false;
}
if("shares" !== data0){
validate59.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "shares"},message:"must be equal to constant",schema:"shares",parentSchema:schema106.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 256){
validate59.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate59.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema40,data:data1}];
return false;
}
}
}
else {
validate59.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema40.type,parentSchema:schema40,data:data1}];
return false;
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.span !== undefined){
let data2 = data.span;
const _errs6 = errors;
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 <= 0 || isNaN(data2)){
validate59.errors = [{instancePath:instancePath+"/span",schemaPath:"#/properties/span/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema106.properties.span,data:data2}];
return false;
}
}
else {
validate59.errors = [{instancePath:instancePath+"/span",schemaPath:"#/properties/span/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema106.properties.span.type,parentSchema:schema106.properties.span,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.admitted !== undefined){
let data3 = data.admitted;
const _errs8 = errors;
if(errors === _errs8){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 0 || isNaN(data3)){
validate59.errors = [{instancePath:instancePath+"/admitted",schemaPath:"#/properties/admitted/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema106.properties.admitted,data:data3}];
return false;
}
}
else {
validate59.errors = [{instancePath:instancePath+"/admitted",schemaPath:"#/properties/admitted/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema106.properties.admitted.type,parentSchema:schema106.properties.admitted,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.denied !== undefined){
let data4 = data.denied;
const _errs10 = errors;
if(errors === _errs10){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 0 || isNaN(data4)){
validate59.errors = [{instancePath:instancePath+"/denied",schemaPath:"#/properties/denied/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema106.properties.denied,data:data4}];
return false;
}
}
else {
validate59.errors = [{instancePath:instancePath+"/denied",schemaPath:"#/properties/denied/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema106.properties.denied.type,parentSchema:schema106.properties.denied,data:data4}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.accounts !== undefined){
let data5 = data.accounts;
const _errs12 = errors;
if(errors === _errs12){
if(Array.isArray(data5)){
var valid2 = true;
const len0 = data5.length;
for(let i0=0; i0<len0; i0++){
const _errs14 = errors;
if(!(validate60(data5[i0], {instancePath:instancePath+"/accounts/" + i0,parentData:data5,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate60.errors : vErrors.concat(validate60.errors);
errors = vErrors.length;
}
var valid2 = _errs14 === errors;
if(!valid2){
break;
}
}
}
else {
validate59.errors = [{instancePath:instancePath+"/accounts",schemaPath:"#/properties/accounts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema106.properties.accounts.type,parentSchema:schema106.properties.accounts,data:data5}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate59.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema106.type,parentSchema:schema106,data}];
return false;
}
}
validate59.errors = vErrors;
return errors === 0;
}
validate59.evaluated = {"props":{"type":true,"service":true,"span":true,"admitted":true,"denied":true,"accounts":true},"dynamicProps":false,"dynamicItems":false};


function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate22.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema34.required,parentSchema:schema34,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "confirm"){
if(!(validate23(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
var props0 = {};
props0.type = true;
props0.version = true;
}
else if(tag0 === "replace"){
if(!(validate24(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.version = true;
props0.document = true;
props0.digest = true;
}
}
else if(tag0 === "evacuate"){
if(!(validate25(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate25.errors : vErrors.concat(validate25.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.dataCentre = true;
props0.active = true;
props0.after = true;
props0.orderedAt = true;
}
}
else if(tag0 === "sync"){
if(!(validate26(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate26.errors : vErrors.concat(validate26.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.version = true;
props0.epoch = true;
props0.revision = true;
props0.mark = true;
props0.host = true;
props0.suspectRevision = true;
props0.evacuationOrders = true;
props0.slowness = true;
}
}
else if(tag0 === "note"){
if(!(validate33(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate33.errors : vErrors.concat(validate33.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.sightings = true;
}
}
else if(tag0 === "make"){
if(!(validate36(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate36.errors : vErrors.concat(validate36.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.cell = true;
props0.request = true;
props0.stage = true;
props0.pieces = true;
props0.key = true;
props0.inputs = true;
props0.bytes = true;
props0.moved = true;
props0.remaining = true;
props0.slack = true;
props0.rank = true;
props0.dataCentre = true;
}
}
else if(tag0 === "book"){
if(!(validate37(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate37.errors : vErrors.concat(validate37.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.cell = true;
props0.request = true;
props0.stage = true;
props0.pieces = true;
props0.slack = true;
props0.rank = true;
props0.bytes = true;
}
}
else if(tag0 === "place"){
if(!(validate38(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate38.errors : vErrors.concat(validate38.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.partition = true;
props0.prompt = true;
props0.planned = true;
props0.version = true;
props0.tried = true;
props0.sent = true;
}
}
else if(tag0 === "suspects"){
if(!(validate43(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate43.errors : vErrors.concat(validate43.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.suspects = true;
}
}
else if(tag0 === "lease"){
if(!(validate48(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate48.errors : vErrors.concat(validate48.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.fingerprint = true;
props0.endpoint = true;
props0.remaining = true;
}
}
else if(tag0 === "quota"){
if(!(validate49(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate49.errors : vErrors.concat(validate49.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.limit = true;
}
}
else if(tag0 === "warmup"){
if(!(validate52(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate52.errors : vErrors.concat(validate52.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.endpoint = true;
props0.rate = true;
}
}
else if(tag0 === "slot"){
if(!(validate53(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate53.errors : vErrors.concat(validate53.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.endpoint = true;
props0.slots = true;
props0.inFlight = true;
}
}
else if(tag0 === "origins"){
if(!(validate54(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate54.errors : vErrors.concat(validate54.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.origins = true;
}
}
else if(tag0 === "origin"){
if(!(validate57(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate57.errors : vErrors.concat(validate57.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.stream = true;
}
}
else if(tag0 === "versions"){
if(!(validate58(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate58.errors : vErrors.concat(validate58.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.period = true;
}
}
else if(tag0 === "shares"){
if(!(validate59(data, {instancePath,parentData,parentDataProperty,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate59.errors : vErrors.concat(validate59.errors);
errors = vErrors.length;
}
if(props0 !== true){
props0 = props0 || {};
props0.type = true;
props0.service = true;
props0.span = true;
props0.admitted = true;
props0.denied = true;
props0.accounts = true;
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema34.discriminator,parentSchema:schema34,data}];
return false;
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema34.discriminator,parentSchema:schema34,data}];
return false;
}
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema34.type,parentSchema:schema34,data}];
return false;
}
}
validate22.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate22.evaluated = {"dynamicProps":true,"dynamicItems":false};


function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.type === undefined) && (missing0 = "type")) || ((data.id === undefined) && (missing0 = "id"))) || ((data.body === undefined) && (missing0 = "body"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
if(data.type !== undefined){
let data0 = data.type;
const _errs1 = errors;
if(typeof data0 !== "string"){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.type.type,parentSchema:schema32.properties.type,data:data0}];
return false;
}
if("ask" !== data0){
validate21.errors = [{instancePath:instancePath+"/type",schemaPath:"#/properties/type/const",keyword:"const",params:{allowedValue: "ask"},message:"must be equal to constant",schema:"ask",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.id !== undefined){
let data1 = data.id;
const _errs3 = errors;
const _errs4 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate21.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Count/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.type,parentSchema:schema33,data:data1}];
return false;
}
if(errors === _errs4){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 0 || isNaN(data1)){
validate21.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Count/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema33,data:data1}];
return false;
}
}
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.body !== undefined){
const _errs6 = errors;
if(!(validate22(data.body, {instancePath:instancePath+"/body",parentData:data,parentDataProperty:"body",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":{"type":true,"id":true,"body":true},"dynamicProps":false,"dynamicItems":false};

const schema110 = {"title":"Answer","type":"object","required":["type","id","body"],"properties":{"type":{"type":"string","const":"answer"},"id":{"$ref":"#/$defs/Count"},"body":{"$ref":"#/$defs/Reply"}}};
const schema112 = {"type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/FailedReply"},{"$ref":"#/$defs/ConfirmedReply"},{"$ref":"#/$defs/ReplacedReply"},{"$ref":"#/$defs/EvacuatedReply"},{"$ref":"#/$defs/SyncedReply"},{"$ref":"#/$defs/NotedReply"},{"$ref":"#/$defs/MadeReply"},{"$ref":"#/$defs/BookedReply"},{"$ref":"#/$defs/PlacedReply"},{"$ref":"#/$defs/LeaseReply"},{"$ref":"#/$defs/QuotaReply"},{"$ref":"#/$defs/OriginReply"},{"$ref":"#/$defs/VersionsReply"},{"$ref":"#/$defs/SharesReply"}]};
const schema145 = {"title":"FailedReply","type":"object","required":["type","reason"],"properties":{"type":{"type":"string","const":"failed"},"reason":{"enum":["not-leader","no-quorum","unknown","stopped","not-served","unreachable"]},"leader":{"type":"string"}}};
const schema146 = {"title":"NotedReply","type":"object","required":["type"],"properties":{"type":{"type":"string","const":"noted"}}};
const schema147 = {"title":"BookedReply","type":"object","required":["type","wait","work"],"properties":{"type":{"type":"string","const":"booked"},"wait":{"description":"Milliseconds until they would be begun.","type":"number"},"work":{"description":"Milliseconds that calls take there lately.","type":"number"},"workAge":{"description":"Milliseconds since a call was last measured; absent before the first.","type":"number"},"ahead":{"description":"Pieces that `wait` counts before them.","type":"number"},"rate":{"description":"Pieces that `wait` expects to be begun in a second.","type":"number"},"scarce":{"description":"What the pieces wait for; absent where endpoints keep up.","type":"string","enum":["calls","memory","placement"]}}};
const schema148 = {"title":"LeaseReply","type":"object","required":["type","granted","wait"],"properties":{"type":{"type":"string","const":"lease"},"granted":{"type":"boolean"},"taken":{"description":"Whether another suspected request runs at the endpoint.","type":"boolean"},"wait":{"description":"Milliseconds after which to ask again, if it is refused.","type":"number","minimum":0}}};
const schema149 = {"title":"QuotaReply","type":"object","required":["type","granted","wait"],"properties":{"type":{"type":"string","const":"quota"},"granted":{"type":"boolean"},"wait":{"description":"Milliseconds until there may be a grant.","type":"number","minimum":0}}};
const schema150 = {"title":"VersionsReply","type":"object","required":["type","versions","complete"],"properties":{"type":{"type":"string","const":"versions"},"versions":{"description":"Without order; an empty one stands for an unknown version.","type":"array","items":{"type":"string","maxLength":256}},"complete":{"description":"Whether the host has observed endpoints for the period.","type":"boolean"}}};
const schema113 = {"title":"ConfirmedReply","type":"object","required":["type","index"],"properties":{"type":{"type":"string","const":"confirmed"},"index":{"description":"Of the log; a replica that has it applied is up to date.","$ref":"#/$defs/Count"},"version":{"description":"In force; told to an asker that names its own.","$ref":"#/$defs/Count"},"document":{"description":"The configuration, packed, if the asker has an older one.","type":"string"},"digest":{"description":"Short mark of its text.","type":"string"},"evacuations":{"$ref":"#/$defs/Evacuations"}}};
const schema116 = {"description":"Of each data centre that ever was evacuated.","type":"array","items":{"$ref":"#/$defs/Evacuation"}};
const schema117 = {"title":"Evacuation","description":"The last order about the evacuation of a data centre: to the endpoints of\none that is evacuated nothing new goes.\n","type":"object","required":["dataCentre","revision","active","orderedAt"],"properties":{"dataCentre":{"$ref":"#/$defs/Name"},"revision":{"description":"Number of orders about this data centre that had effect.","$ref":"#/$defs/Count"},"active":{"description":"Whether it is evacuated; else that is over.","type":"boolean"},"orderedAt":{"description":"Unix milliseconds by the clock of the host that took the order.\n","type":"number"}}};

function validate84(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate84.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.dataCentre === undefined) && (missing0 = "dataCentre")) || ((data.revision === undefined) && (missing0 = "revision"))) || ((data.active === undefined) && (missing0 = "active"))) || ((data.orderedAt === undefined) && (missing0 = "orderedAt"))){
validate84.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema117.required,parentSchema:schema117,data}];
return false;
}
else {
if(data.dataCentre !== undefined){
let data0 = data.dataCentre;
const _errs1 = errors;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 256){
validate84.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/maxLength",keyword:"maxLength",params:{limit: 256},message:"must NOT have more than 256 characters",schema:256,parentSchema:schema40,data:data0}];
