/*
 * The leader's task that decides which subjects are quarantined. The decision is a command of the replicated
 * log, so that it outlives the leader; the evidence is kept in memory only, since entry processes keep copies of it.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { ConsensusRole, ReplicatedLog } from "../control/consensus";
import { DocumentState } from "../documents";
import { FactStore } from "../facts";
import { FleetTracker } from "../fleet";
import { Logger } from "../logging";
import { DocumentCommandSchema } from "../protocol";
import { Clock } from "../runtime";
import { getSubjectKind } from "./getSubjectKind";
import { GuiltySubject } from "./GuiltySubject";
import { readCrashFacts } from "./readCrashFacts";
import { SubjectEvidence } from "./SubjectEvidence";

/** The interval between two decisions, in milliseconds. */
const decisionIntervalMilliseconds = 100;
/**
 * How long a new leader collects evidence before it decides, in milliseconds: entry processes find it one after the other,
 * and the reports of only some of them can accuse a sound subject.
 */
const collectionMilliseconds = 1_500;
/** How long the crashes before a release may be reported, in milliseconds; the subject is not quarantined again by them. */
const releaseMilliseconds = 60_000;

interface CrashQuarantineOptions {
    /** The replicated log. */
    log: Pick<ReplicatedLog, "propose" | "getStatus">;
    /** Holds the subjects that are or were in quarantine. */
    documents: Pick<DocumentState, "getQuarantinedSubjects">;
    /** What the entry processes have reported to this member. */
    facts: FactStore;
    /** Joins the reports. */
    evidence: SubjectEvidence;
    /** Shows the suspects to the entry processes. */
    fleetTracker: Pick<FleetTracker, "setSuspectedSubjects">;
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
export async function runCrashQuarantine(options: CrashQuarantineOptions): Promise<void> {
    const { log, documents, facts, evidence, fleetTracker, clock, logger, signal } = options;
    let readPosition = -1;
    let leaderTerm: bigint | undefined;
    let leadingSinceMilliseconds = 0;
    while (!signal.aborted) {
        if (facts.getPosition() !== readPosition) {
            readPosition = facts.getPosition();
            readCrashFacts(facts, evidence, clock);
        }
        const { role, term } = log.getStatus();
        if (role !== ConsensusRole.Leader) {
            leaderTerm = undefined;
        }
        else {
            if (leaderTerm !== term) {
                leaderTerm = term;
                leadingSinceMilliseconds = clock.getMonotonicMilliseconds();
            }
            explainKnownSubjects();
            if (clock.getMonotonicMilliseconds() - leadingSinceMilliseconds >= collectionMilliseconds) {
                for (const subject of evidence.getGuiltySubjects()) {
                    await quarantine(subject);
                }
            }
            fleetTracker.setSuspectedSubjects(evidence.getSuspects());
        }
        await clock.sleep(decisionIntervalMilliseconds, signal);
    }

    /** Takes the crashes of quarantined and recently released subjects for explained. */
    function explainKnownSubjects(): void {
        const oldestMilliseconds = clock.getWallMilliseconds() - releaseMilliseconds;
        const known = documents.getQuarantinedSubjects()
            .filter(({ isReleased, timeMilliseconds }) => !isReleased || timeMilliseconds > oldestMilliseconds);
        evidence.explainCrashes(new Set(known.map(({ subjectId }) => subjectId)));
    }

    async function quarantine({ subjectId, instanceIds }: GuiltySubject): Promise<void> {
        const command = { case: "quarantineSubject" as const, value: { subjectId, instanceIds: [...instanceIds] } };
        const outcome = await log.propose(toBinary(DocumentCommandSchema, create(DocumentCommandSchema, { command })));
        logger.warn(
            { subject: subjectId, kind: getSubjectKind(subjectId), instanceIds, outcome: outcome.kind },
            "quarantines a subject",
        );
    }
}
