/*
 * Finds backend servers that went dark without closing their connections. It answers a load in which a share of them
 * takes requests and never answers: one that owes an answer and gives no sign of life for a while is asked for one by a
 * call that needs no slot; without an answer it is held to be dead until it gives one.
 */
import { setMaxListeners } from "node:events";
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";
import { waitAtMost } from "../runtime";
import { SilenceWatch } from "./SilenceWatch";
import { SilenceWatchOptions } from "./SilenceWatchOptions";

/** How long one that owes an answer may be silent until it is asked, in milliseconds: a long prompt's reading. */
const silenceMilliseconds = 350;
/** By what a sign of life stretches the silence until the next question: a slow one is asked ever more seldom. */
const patienceFactor = 2;
/** The longest silence until a question, in milliseconds. */
const longestSilenceMilliseconds = 2_800;
/** How long the answer to the question may take, in milliseconds: many times a link's delay. */
const probeMilliseconds = 350;
/** The pause between two questions to a dead one, in milliseconds. */
const probePauseMilliseconds = 500;
/** How often silences are looked for, in milliseconds. */
const lookMilliseconds = 50;
/** How long a dead one is asked, in milliseconds: it has left the platform's list by then, or has a new id. */
const longestProbingMilliseconds = 60_000;

interface Watched {
    instance: FleetInstance;
    service: BackendService;
    owed: number;
    heardMilliseconds: number;
    allowedMilliseconds: number;
    isProbed: boolean;
    dead: AbortController;
}

/**
 * Creates the watch and starts its task.
 * @param options - What the watch is made of.
 */
export function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
    const { link, clock, logger, signal } = options;
    const watched = new Map<string, Watched>();
    const unknown = new AbortController();
    void look();
    return {
        noteSent,
        noteHeard,
        noteEnded,
        isSilent: instanceId => watched.get(instanceId)?.dead.signal.aborted ?? false,
        getSignal: instanceId => watched.get(instanceId)?.dead.signal ?? unknown.signal,
    };

    function noteSent(instance: FleetInstance, service: BackendService): void {
        const now = clock.getMonotonicMilliseconds();
        const entry = watched.get(instance.instanceId)
            ?? createWatched(instance, service, now);
        watched.set(instance.instanceId, entry);
        if (entry.owed === 0) {
            entry.heardMilliseconds = now;
        }
        entry.owed += 1;
    }

    function noteHeard(instanceId: string): void {
        const entry = watched.get(instanceId);
        if (entry) {
            entry.heardMilliseconds = clock.getMonotonicMilliseconds();
            entry.allowedMilliseconds = silenceMilliseconds;
        }
    }

    function noteEnded(instanceId: string): void {
        const entry = watched.get(instanceId);
        if (!entry) {
            return;
        }
        entry.owed -= 1;
        if (entry.owed <= 0 && !entry.isProbed) {
            watched.delete(instanceId);
        }
    }

    async function look(): Promise<void> {
        while (!signal.aborted) {
            const now = clock.getMonotonicMilliseconds();
            for (const entry of watched.values()) {
                const isTooSilent = now - entry.heardMilliseconds > entry.allowedMilliseconds;
                if (!entry.isProbed && entry.owed > 0 && isTooSilent) {
                    entry.isProbed = true;
                    void probe(entry);
                }
            }
            await clock.sleep(lookMilliseconds, signal);
        }
    }

    /** Asks for signs of life until there is one. */
    async function probe(entry: Watched): Promise<void> {
        const { instance, service } = entry;
        const { instanceId } = instance;
        const start = clock.getMonotonicMilliseconds();
        const end = start + longestProbingMilliseconds;
        while (!signal.aborted && clock.getMonotonicMilliseconds() < end) {
            const ended = new AbortController();
            const answer = link.probe(instance, service, ended.signal);
            const isAlive = await waitAtMost(clock, answer, probeMilliseconds);
            ended.abort();
            if (isAlive) {
                break;
            }
            if (!entry.dead.signal.aborted) {
                logger.warn({ instanceId, owed: entry.owed, silenceMilliseconds }, "backend server is silent");
                entry.dead.abort();
            }
            await clock.sleep(probePauseMilliseconds, signal);
        }
        entry.allowedMilliseconds = Math.min(longestSilenceMilliseconds, patienceFactor * entry.allowedMilliseconds);
        if (entry.dead.signal.aborted) {
            const milliseconds = Math.round(clock.getMonotonicMilliseconds() - start);
            logger.info({ instanceId, milliseconds }, "backend server answers again");
            entry.dead = createDeadSignal();
            entry.allowedMilliseconds = silenceMilliseconds;
        }
        entry.heardMilliseconds = clock.getMonotonicMilliseconds();
        entry.isProbed = false;
        if (entry.owed <= 0) {
            watched.delete(instanceId);
        }
    }
}

function createWatched(instance: FleetInstance, service: BackendService, now: number): Watched {
    return {
        instance,
        service,
        owed: 0,
        heardMilliseconds: now,
        allowedMilliseconds: silenceMilliseconds,
        isProbed: false,
        dead: createDeadSignal(),
    };
}

/** Creates the signal of one backend server, on which each of its attempts listens. */
function createDeadSignal(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
}
