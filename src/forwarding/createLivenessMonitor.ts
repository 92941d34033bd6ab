/*
 * Finds backend servers that went dark without closing their connections. It answers a load in which a share of them
 * takes requests and never answers: one that owes an answer and gives no sign of life for a while is asked for one by a
 * call that needs no slot; without an answer it is held to be dead until it gives one.
 */
import { setMaxListeners } from "node:events";
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";
import { waitAtMost } from "../runtime";
import { LivenessMonitor } from "./LivenessMonitor";
import { LivenessMonitorOptions } from "./LivenessMonitorOptions";

/** How long one that owes an answer may be silent until it is asked, in milliseconds: a long prompt's reading. */
const silenceMilliseconds = 350;
/** By what a sign of life stretches the silence until the next question: a slow one is asked ever more seldom. */
const silenceGrowthFactor = 2;
/** The longest silence until a question, in milliseconds. */
const maximumSilenceMilliseconds = 2_800;
/** How long the answer to the question may take, in milliseconds: many times a link's delay. */
const probeTimeoutMilliseconds = 350;
/** The pause between two questions to a dead one, in milliseconds. */
const probeIntervalMilliseconds = 500;
/** How often silences are looked for, in milliseconds. */
const checkIntervalMilliseconds = 50;
/** How long a dead one is asked, in milliseconds: it has left the platform's list by then, or has a new id. */
const maximumProbingMilliseconds = 60_000;

interface MonitoredServer {
    instance: FleetInstance;
    service: BackendService;
    attemptsInFlight: number;
    lastActivityMilliseconds: number;
    allowedSilenceMilliseconds: number;
    isProbed: boolean;
    unresponsive: AbortController;
}

/**
 * Creates the watch and starts its task.
 * @param options - What the watch is made of.
 */
export function createLivenessMonitor(options: LivenessMonitorOptions): LivenessMonitor {
    const { link, clock, logger, signal } = options;
    const servers = new Map<string, MonitoredServer>();
    const neverAborted = new AbortController();
    void checkSilences();
    return {
        recordSent,
        recordActivity,
        recordAttemptEnd,
        isUnresponsive: instanceId => servers.get(instanceId)?.unresponsive.signal.aborted ?? false,
        getUnresponsiveSignal: instanceId => servers.get(instanceId)?.unresponsive.signal ?? neverAborted.signal,
    };

    function recordSent(instance: FleetInstance, service: BackendService): void {
        const now = clock.getMonotonicMilliseconds();
        const server = servers.get(instance.instanceId)
            ?? createMonitoredServer(instance, service, now);
        servers.set(instance.instanceId, server);
        if (server.attemptsInFlight === 0) {
            server.lastActivityMilliseconds = now;
        }
        server.attemptsInFlight += 1;
    }

    function recordActivity(instanceId: string): void {
        const server = servers.get(instanceId);
        if (server) {
            server.lastActivityMilliseconds = clock.getMonotonicMilliseconds();
            server.allowedSilenceMilliseconds = silenceMilliseconds;
        }
    }

    function recordAttemptEnd(instanceId: string): void {
        const server = servers.get(instanceId);
        if (!server) {
            return;
        }
        server.attemptsInFlight -= 1;
        if (server.attemptsInFlight <= 0 && !server.isProbed) {
            servers.delete(instanceId);
        }
    }

    async function checkSilences(): Promise<void> {
        while (!signal.aborted) {
            const now = clock.getMonotonicMilliseconds();
            for (const server of servers.values()) {
                const isTooSilent = now - server.lastActivityMilliseconds > server.allowedSilenceMilliseconds;
                if (!server.isProbed && server.attemptsInFlight > 0 && isTooSilent) {
                    server.isProbed = true;
                    void probeUntilResponsive(server);
                }
            }
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
    }

    /** Asks for signs of life until there is one. */
    async function probeUntilResponsive(server: MonitoredServer): Promise<void> {
        const { instance, service } = server;
        const { instanceId } = instance;
        const start = clock.getMonotonicMilliseconds();
        const end = start + maximumProbingMilliseconds;
        while (!signal.aborted && clock.getMonotonicMilliseconds() < end) {
            const ended = new AbortController();
            const answer = link.probe(instance, service, ended.signal);
            const isResponsive = await waitAtMost(clock, answer, probeTimeoutMilliseconds);
            ended.abort();
            if (isResponsive) {
                break;
            }
            if (!server.unresponsive.signal.aborted) {
                logger.warn(
                    { instanceId, owed: server.attemptsInFlight, silenceMilliseconds },
                    "backend server is silent",
                );
                server.unresponsive.abort();
            }
            await clock.sleep(probeIntervalMilliseconds, signal);
        }
        server.allowedSilenceMilliseconds = Math.min(
            maximumSilenceMilliseconds,
            silenceGrowthFactor * server.allowedSilenceMilliseconds,
        );
        if (server.unresponsive.signal.aborted) {
            const milliseconds = Math.round(clock.getMonotonicMilliseconds() - start);
            logger.info({ instanceId, milliseconds }, "backend server answers again");
            server.unresponsive = createUnresponsiveController();
            server.allowedSilenceMilliseconds = silenceMilliseconds;
        }
        server.lastActivityMilliseconds = clock.getMonotonicMilliseconds();
        server.isProbed = false;
        if (server.attemptsInFlight <= 0) {
            servers.delete(instanceId);
        }
    }
}

function createMonitoredServer(instance: FleetInstance, service: BackendService, now: number): MonitoredServer {
    return {
        instance,
        service,
        attemptsInFlight: 0,
        lastActivityMilliseconds: now,
        allowedSilenceMilliseconds: silenceMilliseconds,
        isProbed: false,
        unresponsive: createUnresponsiveController(),
    };
}

/** Creates the signal of one backend server, on which each of its attempts listens. */
function createUnresponsiveController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
}
