/*
 * The leader's task that decides which parts of prompts are quarantined. The decision is a command of the replicated
 * log, so that it outlives the leader; the evidence is kept in memory only, since entry processes report it again.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { ConsensusRole, ReplicatedLog } from "../control/consensus";
import { DocumentState } from "../documents";
import { FleetTracker } from "../fleet";
import { Logger } from "../logging";
import { DocumentCommandSchema } from "../protocol";
import { Clock } from "../runtime";
import { GuiltyPart } from "./GuiltyPart";
import { PartEvidence } from "./PartEvidence";

/** The interval between two decisions, in milliseconds. */
const decisionIntervalMilliseconds = 100;
/** How long the crashes before a release may be reported, in milliseconds; the part is not quarantined again by them. */
const releaseMilliseconds = 60_000;

interface PartQuarantineOptions {
    /** The replicated log. */
    log: Pick<ReplicatedLog, "propose" | "getStatus">;
    /** Holds the parts that are or were in quarantine. */
    documents: Pick<DocumentState, "getQuarantinedParts">;
    /** What the entry processes have reported to this member. */
    evidence: PartEvidence;
    /** Shows the suspects to the entry processes. */
    fleetTracker: Pick<FleetTracker, "setSuspectedParts">;
    /** The clock. */
    clock: Clock;
    /** Logs each decision. */
    logger: Logger;
    /** Stops the task. */
    signal: AbortSignal;
}

/**
 * Decides while this member is the leader, until the signal stops the task.
 * @param options - The options of the task.
 */
export async function runPartQuarantine(options: PartQuarantineOptions): Promise<void> {
    const { log, documents, evidence, fleetTracker, clock, logger, signal } = options;
    while (!signal.aborted) {
        if (log.getStatus().role === ConsensusRole.Leader) {
            explainKnownParts();
            for (const part of evidence.getGuiltyParts()) {
                await quarantine(part);
            }
            fleetTracker.setSuspectedParts(evidence.getSuspects());
        }
        await clock.sleep(decisionIntervalMilliseconds, signal);
    }

    /** Takes the crashes of quarantined and recently released parts for explained. */
    function explainKnownParts(): void {
        const oldestMilliseconds = clock.getWallMilliseconds() - releaseMilliseconds;
        documents.getQuarantinedParts()
            .filter(({ isReleased, timeMilliseconds }) => !isReleased || timeMilliseconds > oldestMilliseconds)
            .forEach(({ partId }) => evidence.explainCrashes(partId));
    }

    async function quarantine({ partId, instanceIds }: GuiltyPart): Promise<void> {
        const command = { case: "quarantinePart" as const, value: { partId, instanceIds: [...instanceIds] } };
        const outcome = await log.propose(toBinary(DocumentCommandSchema, create(DocumentCommandSchema, { command })));
        logger.warn({ promptPart: partId, instanceIds, outcome: outcome.kind }, "quarantines a part of prompts");
    }
}
