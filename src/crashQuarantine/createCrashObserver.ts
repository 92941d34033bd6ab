/*
 * Distinguishes crashes of backend servers from responses that break off, connections that are reset and backend servers
 * that can't be reached: after a lost response it asks whether the instance still serves. A crash is recorded with the
 * subjects of all requests that were in flight there when the first of them was lost. At an engine, a request whose
 * response had been arriving for some time did not cause the crash, which would have happened when it began; one whose
 * response had just begun is more suspicious than one that was still waiting. A plain service does not tell which
 * requests it has begun to run. A backend server that was silent and serves again may have crashed and started again under
 * its id, which the list shows later.
 */
import { LRUCache } from "lru-cache";
import { BackendService } from "../documents";
import { CounterName, TaskName } from "../metrics";
import { FleetInstance } from "../protocol";
import { waitWithTimeout } from "../runtime";
import { startTask } from "../supervision";
import { CrashObservation } from "./CrashObservation";
import { CrashObserver } from "./CrashObserver";
import { CrashObserverOptions } from "./CrashObserverOptions";
import { getSubjectKind } from "./getSubjectKind";
import { getSubjectLimits } from "./getSubjectLimits";
import { InstanceState } from "./InstanceState";
import { LossCause } from "./LossCause";
import { ObservedRun } from "./ObservedRun";
import { RunSubjects } from "./RunSubjects";
import { SubjectKind } from "./SubjectKind";

/** How long a response must have been arriving to show that its request is sound, in milliseconds. */
const soundOutputMilliseconds = 500;
/** The number of completions that are kept for each subject; more add nothing to what they show. */
const maximumCompletions = 16;
/** The number of subjects whose completions are kept; beyond it, those of the least recently completed are dropped. */
const maximumSubjects = 8_192;
/** How long crashes are reported, in milliseconds: until a new leader has received them. */
const observationLifetimeMilliseconds = 60_000;
/** How long completions are reported, in milliseconds: as long as crashes accuse any kind of subject. */
const completionLifetimeMilliseconds = getSubjectLimits(SubjectKind.Request).evidenceLifetimeMilliseconds;
/** The maximum number of crashes that are reported; more are dropped, the oldest first. */
const maximumObservations = 64;
/** The maximum number of parts, and of requests, in an observation; more are dropped. */
const maximumSubjectsOfKind = 64;
/** The timeout of one check, in milliseconds: many times the network delay. */
const checkTimeoutMilliseconds = 350;
/** The pause between two checks, in milliseconds. */
const checkIntervalMilliseconds = 150;
/** The number of checks without a clear result after which the crash counts as unconfirmed. */
const maximumChecks = 8;

/** How long the list may take to show that an instance has ended or started again, in milliseconds: with that of polls. */
const listLagMilliseconds = 3_000;

/** The number of ended instances that are remembered; beyond it, the oldest are forgotten. */
const maximumEndedInstances = 256;

/** A run in flight. */
interface RunInFlight {
    subjects: RunSubjects;
    /** When an engine's response began; undefined before that, and at a plain service. */
    beginMilliseconds: number | undefined;
}

/** A check whether an instance has crashed, with the runs in flight that may have caused it. */
interface CrashCheck {
    /** The last time at which a run was added. */
    timeMilliseconds: number;
    /** What showed the loss that began the check. */
    cause: LossCause;
    /** Whether no probe has failed yet: later, runs are lost since the instance is down. */
    takesRuns: boolean;
    begunRuns: Set<RunInFlight>;
    waitingRuns: Set<RunInFlight>;
}

type TimedObservation = CrashObservation & { timeMilliseconds: number; };
type CrashCandidates = Pick<CrashObservation, "begunSubjectIds" | "waitingSubjectIds">;

/**
 * Creates the crash observer of an entry process.
 * @param options - The options of the observer.
 */
export function createCrashObserver(options: CrashObserverOptions): CrashObserver {
    const { incarnation, clock, logger, metrics, signal } = options;
    /** The runs in flight, the checks, and until when ends are known, by start of an instance. */
    const runsByStart = new Map<string, Set<RunInFlight>>();
    const checks = new Map<string, CrashCheck>();
    const endTimes = new LRUCache<string, number>({ max: maximumEndedInstances });
    const completionTimes = new LRUCache<string, readonly number[]>({ max: maximumSubjects });
    let observations: TimedObservation[] = [];
    let observedRequestIds: ReadonlySet<string> = new Set();
    let observationCount = 0;
    return { beginRun, getObservations, getCompletions };

    function beginRun(instance: FleetInstance, service: BackendService, subjects: RunSubjects): ObservedRun {
        const startKey = getStartKey(instance);
        const run: RunInFlight = { subjects, beginMilliseconds: undefined };
        const runs = runsByStart.get(startKey) ?? new Set();
        runsByStart.set(startKey, runs.add(run));
        return {
            recordBegin: () => {
                // It may have started again under its id, which the list need not show.
                endTimes.delete(startKey);
                if (service.kind === "engine") {
                    run.beginMilliseconds ??= clock.getMonotonicMilliseconds();
                }
            },
            complete: () => {
                if (removeRun(startKey, run)) {
                    recordCompletion(run);
                }
            },
            lose: cause => {
                if (runsByStart.get(startKey)?.has(run) && !hasEnded(startKey)) {
                    checkCrash(instance, service, run, cause);
                }
                removeRun(startKey, run);
            },
            end: () => void removeRun(startKey, run),
        };
    }

    /** Removes a run; returns whether it was in flight. */
    function removeRun(startKey: string, run: RunInFlight): boolean {
        const runs = runsByStart.get(startKey);
        const wasInFlight = runs?.delete(run) ?? false;
        if (runs?.size === 0) {
            runsByStart.delete(startKey);
        }
        return wasInFlight;
    }

    /** Records that an instance has ended, so that runs there that are lost later show nothing more. */
    function recordEnd(instance: FleetInstance): void {
        // One whose start is not known may serve again under the same key once the list has shown that it ended.
        const isStartKnown = instance.startMilliseconds > 0;
        const forgottenMilliseconds = isStartKnown ? Infinity : clock.getMonotonicMilliseconds() + listLagMilliseconds;
        endTimes.set(getStartKey(instance), forgottenMilliseconds);
    }

    function hasEnded(startKey: string): boolean {
        return clock.getMonotonicMilliseconds() < (endTimes.get(startKey) ?? -Infinity);
    }

    /** Records a completion; that of a request only if it is accused, since its digest costs time. */
    function recordCompletion({ subjects }: RunInFlight): void {
        const now = clock.getMonotonicMilliseconds();
        for (const subjectId of [...subjects.partIds, ...getAccusedRequestIds(subjects)]) {
            completionTimes.set(subjectId, [...completionTimes.get(subjectId) ?? [], now].slice(-maximumCompletions));
        }
    }

    /** Gets the id of a request's subject if the request was in flight at a recent crash or is a suspect. */
    function getAccusedRequestIds(subjects: RunSubjects): readonly string[] {
        const suspectedIds = options.getSuspectedRequestIds();
        if (observedRequestIds.size === 0 && suspectedIds.size === 0) {
            return [];
        }
        const subjectId = subjects.getRequestSubjectId();
        return observedRequestIds.has(subjectId) || suspectedIds.has(subjectId) ? [subjectId] : [];
    }

    /** Checks whether the loss of a run is due to a crash; a run that is lost during the first probe joins the check. */
    function checkCrash(
        instance: FleetInstance,
        service: BackendService,
        lostRun: RunInFlight,
        cause: LossCause,
    ): void {
        const startKey = getStartKey(instance);
        const current = checks.get(startKey);
        if (current) {
            addRun(current, lostRun);
            return;
        }
        const check: CrashCheck = {
            timeMilliseconds: 0,
            cause,
            takesRuns: true,
            begunRuns: new Set(),
            waitingRuns: new Set(),
        };
        checks.set(startKey, check);
        runsByStart.get(startKey)?.forEach(run => addRun(check, run));
        startTask(
            TaskName.CrashCheck,
            async () => {
                const mayServeAgain = await confirmCrash(instance, service, check).finally(() =>
                    checks.delete(startKey)
                );
                if (mayServeAgain) {
                    await confirmRestart(instance, service, check);
                }
            },
            options,
        );
    }

    /** Adds a run to the candidates, unless its response had been arriving for so long that it is sound. */
    function addRun(check: CrashCheck, run: RunInFlight): void {
        if (!check.takesRuns) {
            return;
        }
        check.timeMilliseconds = clock.getMonotonicMilliseconds();
        if (run.beginMilliseconds === undefined) {
            check.waitingRuns.add(run);
        }
        else if (check.timeMilliseconds - run.beginMilliseconds < soundOutputMilliseconds) {
            check.begunRuns.add(run);
        }
        else {
            recordCompletion(run);
        }
    }

    /** Records a crash that probes show; returns whether the instance serves after a time in which it did not. */
    async function confirmCrash(instance: FleetInstance, service: BackendService, check: CrashCheck): Promise<boolean> {
        for (let count = 0; count < maximumChecks && !signal.aborted; count++) {
            const state = await checkOnce(instance, service);
            if (state === InstanceState.Serving) {
                return !check.takesRuns || check.cause === LossCause.Silence;
            }
            if (state === InstanceState.Ended || state === InstanceState.Refusing) {
                recordEnd(instance);
                if (wasReplacedBefore(check, state)) {
                    logger.info(
                        { instanceId: instance.instanceId, ...getCandidates(check) },
                        "backend server was replaced before runs there were lost",
                    );
                }
                else {
                    addObservation(instance.instanceId, service, check);
                }
                return false;
            }
            check.takesRuns = false;
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
        logger.info(
            { instanceId: instance.instanceId, ...getCandidates(check) },
            "can't tell whether a backend server has crashed",
        );
        return true;
    }

    /** Records a crash if the list shows that the instance has started again, unless it was to leave. */
    async function confirmRestart(instance: FleetInstance, service: BackendService, check: CrashCheck): Promise<void> {
        const endMilliseconds = clock.getMonotonicMilliseconds() + listLagMilliseconds;
        while (!signal.aborted && clock.getMonotonicMilliseconds() < endMilliseconds) {
            const listed = options.getListedInstance(instance.instanceId);
            if (instance.startMilliseconds === 0 || listed?.isLeaving || hasEnded(getStartKey(instance))) {
                return;
            }
            if (listed && listed.startMilliseconds > instance.startMilliseconds) {
                recordEnd(instance);
                addObservation(instance.instanceId, service, check);
                return;
            }
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
    }

    /**
     * Returns whether another instance serves where a connection has only just ended: after a crash a backend server is
     * down for some time, while one that restarts as planned may end with any of its connections.
     */
    function wasReplacedBefore({ cause, takesRuns }: CrashCheck, state: InstanceState): boolean {
        return state === InstanceState.Ended && takesRuns && cause === LossCause.Connection;
    }

    async function checkOnce(instance: FleetInstance, service: BackendService): Promise<InstanceState> {
        const ended = new AbortController();
        const check = options.checkInstance(instance, service, ended.signal);
        const state = await waitWithTimeout(clock, check, checkTimeoutMilliseconds);
        ended.abort();
        return state ?? InstanceState.Unknown;
    }

    function addObservation(instanceId: string, service: BackendService, check: CrashCheck): void {
        const candidates = getCandidates(check);
        metrics.addCount(CounterName.BackendCrashes);
        logger.warn({ instanceId, service: service.name, ...candidates }, "backend server has crashed");
        observationCount += 1;
        setObservations([...observations, {
            reportId: `${incarnation}.${observationCount}`,
            instanceId,
            ageMilliseconds: 0,
            timeMilliseconds: check.timeMilliseconds,
            ...candidates,
        }].slice(-maximumObservations));
    }

    function setObservations(newObservations: TimedObservation[]): void {
        observations = newObservations;
        const ids = observations.flatMap(crash => [...crash.begunSubjectIds, ...crash.waitingSubjectIds]);
        observedRequestIds = new Set(ids.filter(id => getSubjectKind(id) === SubjectKind.Request));
    }

    function getObservations(): readonly CrashObservation[] {
        const now = clock.getMonotonicMilliseconds();
        const recent = observations.filter(crash => now - crash.timeMilliseconds < observationLifetimeMilliseconds);
        if (recent.length < observations.length) {
            setObservations(recent);
        }
        return observations.map(({ timeMilliseconds, ...crash }) => ({
            ...crash,
            ageMilliseconds: Math.round(now - timeMilliseconds),
        }));
    }

    function getCompletions(subjectIds: Iterable<string>): ReadonlyMap<string, readonly number[]> {
        const now = clock.getMonotonicMilliseconds();
        const ages = [...subjectIds].map((subjectId): [string, readonly number[]] => [
            subjectId,
            (completionTimes.peek(subjectId) ?? [])
                .map(time => Math.round(now - time))
                .filter(age => age < completionLifetimeMilliseconds),
        ]);
        return new Map(ages.filter(([, subjectAges]) => subjectAges.length > 0));
    }
}

/** Gets a key of an instance that is another one after each start that the list shows. */
function getStartKey({ instanceId, startMilliseconds }: FleetInstance): string {
    return `${instanceId} ${startMilliseconds}`;
}

function getCandidates({ begunRuns, waitingRuns }: CrashCheck): CrashCandidates {
    return {
        begunSubjectIds: getSubjectIds([...begunRuns]),
        waitingSubjectIds: getSubjectIds([...waitingRuns]),
    };
}

/** Gets the subjects of runs, each once. */
function getSubjectIds(runs: readonly RunInFlight[]): readonly string[] {
    const partIds = new Set(runs.flatMap(({ subjects }) => subjects.partIds));
    const requestIds = new Set(runs.map(({ subjects }) => subjects.getRequestSubjectId()));
    return [...[...partIds].slice(0, maximumSubjectsOfKind), ...[...requestIds].slice(0, maximumSubjectsOfKind)];
}
