import {
    createCrashObserver,
    createSubjectEvidence,
    EvidenceScope,
    InstanceState,
    LossCause,
    ObservedRun,
} from "../../src/crashQuarantine";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { FleetInstance } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestSubjects } from "./createTestSubjects";
import { SimulatedFaults } from "./SimulatedFaults";
import { testServices } from "./testServices";

/** The load and the faults of a simulation. */
export interface CrashSimulationOptions extends SimulatedFaults {
    /** The number of parts that crash engines. */
    guiltyParts?: number;
    /** The number of subjects, each a part that few sound requests share. */
    subjects?: number;
}

/** What a simulation has shown. */
export interface CrashSimulationResult {
    /** The number of crashes under a guilty part until its verdict, for each guilty part that was found. */
    crashesUntilVerdict: readonly number[];
    /** Requests with guilty parts that reached engines later than 3 s after the fifth crash under the part. */
    lateArrivals: number;
    /** Sound parts that were quarantined. */
    falseVerdicts: readonly string[];
    /** The share of the sound requests that began at their first attempt, later than 6 s after the fifth crash. */
    lateSoundShare: number;
}

interface Engine {
    id: string;
    downUntilMilliseconds: number;
    /** The id before a planned restart, which entry processes use until they hear of the new one. */
    former?: { id: string; untilMilliseconds: number; };
    isRestarting: boolean;
    runs: Set<{ run: ObservedRun; retry: () => void; }>;
}

const engineCount = 8;
const entryCount = 5;
const stepMilliseconds = 10;
const endMilliseconds = 40_000;
const guiltyFromMilliseconds = 10_000;
const soundIntervalMilliseconds = 30;
const guiltyIntervalMilliseconds = 350;
const pollMilliseconds = 200;
const restartMilliseconds = 2_000;
const crashDelayMilliseconds = 90;
const probeMilliseconds = 10;
const listLagMilliseconds = 800;
const lostAnswerMilliseconds = 60;
const decisionMilliseconds = 3_000;
const crashesUntilDecided = 5;

/**
 * Plays sound requests, requests with guilty parts and other crashes at eight engines behind five entry processes, in
 * virtual time. Lost requests are sent once more, as long as no part of them is a suspect.
 */
export async function simulateCrashes(options: CrashSimulationOptions): Promise<CrashSimulationResult> {
    const { guiltyParts = 1, crashShare = 1, stormMilliseconds = [], subjects = 60 } = options;
    const clock = createManualClock();
    const random = createRandomSource(options.seed);
    const signal = new AbortController().signal;
    const enginesById = new Map<string, Engine>();
    const engines = Array.from({ length: engineCount }, startEngine);
    let observerCount = 0;
    const createObserver = () =>
        createCrashObserver({
            incarnation: String(observerCount++),
            checkInstance,
            getListedInstance: () => undefined,
            getSuspectedRequestIds: () => new Set(),
            clock,
            logger: createSilentLogger(),
            metrics: createMetrics(),
            signal,
        });
    const observers = Array.from({ length: entryCount }, createObserver);
    const ownEvidences = observers.map(() => createSubjectEvidence(clock, EvidenceScope.SomeEntries));
    const ownGuilty = observers.map(() => new Set<string>());
    const lateSound = { sent: 0, begun: 0 };
    let evidence = createSubjectEvidence(clock);
    let lastContactMilliseconds = 0;
    const quarantined = new Set<string>();
    const crashTimes = new Map<string, number[]>();
    const crashesUntilVerdict: number[] = [];
    let suspects: readonly string[] = [];
    let lateArrivals = 0;
    let count = 0;
    for (let now = 0; now < endMilliseconds; now += stepMilliseconds) {
        if (now % soundIntervalMilliseconds === 0) {
            const subject = Math.floor(subjects * random.getFraction() ** 2);
            send([`first-${count % 3}`, `subject-${subject}`], undefined, true);
        }
        if (guiltyParts > 0 && now >= guiltyFromMilliseconds && now % guiltyIntervalMilliseconds === 0) {
            const guilty = `guilty-${random.getInteger(guiltyParts)}`;
            send([`first-${count % 3}`, guilty], guilty, true);
        }
        if (stormMilliseconds.includes(now)) {
            engines.filter((...[, index]) => index % 2 === 0).forEach(crash);
        }
        if (random.getFraction() < (options.otherCrashesPerSecond ?? 0) * stepMilliseconds / 1_000) {
            crash(pickEngine());
        }
        const restartCount = now / (options.restartIntervalMilliseconds ?? Infinity);
        if (restartCount > 0 && Number.isInteger(restartCount)) {
            engines[restartCount % engineCount]!.isRestarting = true;
        }
        engines.filter(({ isRestarting, runs }) => isRestarting && runs.size === 0).forEach(restart);
        if (options.leaderChangeMilliseconds?.includes(now)) {
            evidence = createSubjectEvidence(clock);
        }
        if (options.entryRestartMilliseconds?.includes(now)) {
            restartEntry(random.getInteger(entryCount));
        }
        if (now % pollMilliseconds === 0) {
            exchangeState(now);
        }
        await clock.advance(stepMilliseconds);
    }
    const falseVerdicts = [...quarantined].filter(subjectId => !subjectId.startsWith("guilty"));
    const lateSoundShare = lateSound.sent === 0 ? 1 : lateSound.begun / lateSound.sent;
    return { crashesUntilVerdict, lateArrivals, falseVerdicts, lateSoundShare };

    function startEngine(): Engine {
        const engine: Engine = { id: "", downUntilMilliseconds: 0, isRestarting: false, runs: new Set() };
        changeId(engine);
        return engine;
    }

    function changeId(engine: Engine): void {
        engine.id = `engine-${enginesById.size + 1}`;
        enginesById.set(engine.id, engine);
    }

    /** Restarts an engine that has ended its runs; entry processes hear of its new id later. */
    function restart(engine: Engine): void {
        engine.former = { id: engine.id, untilMilliseconds: clock.getMonotonicMilliseconds() + listLagMilliseconds };
        engine.isRestarting = false;
        changeId(engine);
    }

    async function checkInstance({ instanceId }: FleetInstance): Promise<InstanceState> {
        await clock.sleep(probeMilliseconds);
        const engine = enginesById.get(instanceId)!;
        if (isDown(engine)) {
            return InstanceState.Refusing;
        }
        return engine.id === instanceId ? InstanceState.Serving : InstanceState.Ended;
    }

    function isDown(engine: Engine): boolean {
        return engine.downUntilMilliseconds > clock.getMonotonicMilliseconds();
    }

    function pickEngine(): Engine {
        const serving = engines.filter(engine => !isDown(engine));
        return serving[random.getInteger(serving.length)] ?? engines[0]!;
    }

    function send(subjectIds: readonly string[], guilty: string | undefined, mayRetry: boolean): void {
        count += 1;
        const engine = pickEngine();
        const now = clock.getMonotonicMilliseconds();
        const index = random.getInteger(entryCount);
        const isLateSound = guilty === undefined && mayRetry && now > getDecidedTime("guilty-0") + 6_000;
        lateSound.sent += isLateSound ? 1 : 0;
        if (
            isDown(engine) || engine.isRestarting
            || subjectIds.some(subjectId => quarantined.has(subjectId) || ownGuilty[index]!.has(subjectId))
        ) {
            return;
        }
        lateSound.begun += isLateSound ? 1 : 0;
        if (guilty !== undefined && now > getDecidedTime(guilty) + decisionMilliseconds) {
            lateArrivals += 1;
        }
        const formerId = now < (engine.former?.untilMilliseconds ?? 0) ? engine.former!.id : undefined;
        const run = observers[index]!.beginRun(
            createTestInstance({ instanceId: formerId ?? engine.id }),
            testServices.engine,
            createTestSubjects(subjectIds),
        );
        const retry = () => {
            if (mayRetry && !subjectIds.some(subjectId => suspects.includes(subjectId))) {
                send(subjectIds, guilty, false);
            }
        };
        const isLost = options.lostShare !== undefined && random.getFraction() < options.lostShare;
        if (formerId !== undefined || isLost) {
            void loseOrRefuse();
            return;
        }
        const entry = { run, retry };
        engine.runs.add(entry);
        void play();

        async function loseOrRefuse(): Promise<void> {
            await clock.sleep(lostAnswerMilliseconds);
            if (isLost) {
                run.lose(LossCause.Connection);
            }
            else {
                run.end();
            }
            retry();
        }

        async function play(): Promise<void> {
            await clock.sleep(30 + random.getInteger(400));
            run.recordBegin();
            if (guilty !== undefined && random.getFraction() < crashShare) {
                await clock.sleep(crashDelayMilliseconds);
                if (engine.runs.has(entry)) {
                    crashTimes.set(guilty, [...crashTimes.get(guilty) ?? [], clock.getMonotonicMilliseconds()]);
                    crash(engine);
                }
                return;
            }
            await clock.sleep(50 + random.getInteger(2_500));
            if (engine.runs.delete(entry)) {
                if (random.getFraction() < (options.brokenShare ?? 0)) {
                    run.lose(LossCause.Connection);
                }
                else {
                    run.complete();
                }
            }
        }
    }

    function crash(engine: Engine): void {
        const lost = [...engine.runs];
        changeId(engine);
        engine.isRestarting = false;
        engine.former = undefined;
        engine.downUntilMilliseconds = clock.getMonotonicMilliseconds() + restartMilliseconds;
        engine.runs = new Set();
        lost.forEach(({ run }) => run.lose(LossCause.Connection));
        lost.forEach(({ retry }) => retry());
    }

    function restartEntry(index: number): void {
        observers[index] = createObserver();
        ownEvidences[index] = createSubjectEvidence(clock, EvidenceScope.SomeEntries);
        ownGuilty[index]!.clear();
    }

    /** Polls control, or decides at each entry process where there is no contact. */
    function exchangeState(now: number): void {
        const [cutFrom, cutTo] = options.controlCutMilliseconds ?? [Infinity, Infinity];
        if (now < cutFrom || now >= cutTo) {
            lastContactMilliseconds = now;
            ownGuilty.forEach(guilty => guilty.clear());
            poll();
        }
        else if (now - lastContactMilliseconds > 2_000) {
            observers.forEach((observer, index) => {
                const ownEvidence = ownEvidences[index]!;
                const crashes = observer.getObservations();
                const accused = crashes.flatMap(({ begunSubjectIds, waitingSubjectIds }) => [
                    ...begunSubjectIds,
                    ...waitingSubjectIds,
                ]);
                crashes.forEach(ownEvidence.addObservation);
                ownEvidence.setCompletions("self", observer.getCompletions(accused));
                ownEvidence.getGuiltySubjects().forEach(({ subjectId }) => ownGuilty[index]!.add(subjectId));
            });
        }
    }

    function poll(): void {
        const entries = observers.map((observer, index) => ({ observer, index, crashes: observer.getObservations() }));
        entries.forEach(({ crashes }) => crashes.forEach(evidence.addObservation));
        for (const { observer, index, crashes } of entries) {
            const accused = new Set([
                ...suspects,
                ...crashes.flatMap((
                    { begunSubjectIds, waitingSubjectIds },
                ) => [...begunSubjectIds, ...waitingSubjectIds]),
            ]);
            evidence.setCompletions(String(index), observer.getCompletions(accused));
        }
        evidence.explainCrashes(quarantined);
        for (const { subjectId } of evidence.getGuiltySubjects()) {
            quarantined.add(subjectId);
            if (subjectId.startsWith("guilty")) {
                crashesUntilVerdict.push(crashTimes.get(subjectId)?.length ?? 0);
            }
        }
        evidence.explainCrashes(quarantined);
        suspects = evidence.getSuspects();
    }

    function getDecidedTime(guilty: string): number {
        return crashTimes.get(guilty)?.[crashesUntilDecided - 1] ?? Infinity;
    }
}
