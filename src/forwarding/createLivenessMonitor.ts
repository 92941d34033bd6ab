/*
 * Detects backend servers that stop responding without closing their connections, as when some of them accept requests
 * and never respond. A backend server with attempts in flight that sends nothing for some time is probed by a call that
 * needs no slot. If the probe gets no response, it is considered unresponsive until one does, and the other entry processes
 * are told; one that hears of it probes the server at once if it has attempts in flight there. Where most backend servers
 * with attempts in flight are silent, the cause is rather this process or its network: the others need not know, and no
 * server is taken for gone.
 */
import { setMaxListeners } from "node:events";
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";
import { waitWithTimeout } from "../runtime";
import { createReportedServers } from "./createReportedServers";
import { LivenessMonitor } from "./LivenessMonitor";
import { LivenessMonitorOptions } from "./LivenessMonitorOptions";

/**
 * How long a backend server with attempts in flight may be inactive before it is probed: the prefill of a long prompt.
 */
const initialSilenceMilliseconds = 350;
/**
 * The factor by which each probe with a response extends the allowed inactivity: a slow backend server is probed less
 * often.
 */
const silenceGrowthFactor = 2;
/** The maximum allowed inactivity. */
const maximumSilenceMilliseconds = 2_800;
/** How long the response to a probe may take: many times the network delay. */
const probeTimeoutMilliseconds = 350;
/** The number of monitored backend servers from which on the silence of most of them is put down to this process. */
const minimumServersForObserverFault = 3;
/** The pause between two probes of an unresponsive backend server. */
const probeIntervalMilliseconds = 500;
/** How often backend servers are checked for inactivity. */
const checkIntervalMilliseconds = 50;
/**
 * How long an unresponsive backend server is probed: by then the platform's list has removed it or given it a new id.
 */
const maximumProbingMilliseconds = 60_000;

/** A backend server with attempts in flight, or one that is being probed. */
interface MonitoredServer {
    instance: FleetInstance;
    service: BackendService;
    attemptsInFlight: number;
    lastActivityMilliseconds: number;
    /** How long it may be inactive before it is probed. */
    allowedSilenceMilliseconds: number;
    isProbed: boolean;
    /** Aborted once it is considered unresponsive. */
    unresponsive: AbortController;
    /** Aborted once it is taken for gone. */
    gone: AbortController;
}

/**
 * Creates the monitor and starts its background task.
 * @param options - The options of the monitor.
 */
export function createLivenessMonitor(options: LivenessMonitorOptions): LivenessMonitor {
    const { link, facts, clock, logger, signal } = options;
    const servers = new Map<string, MonitoredServer>();
    const neverAborted = createServerController();
    const reportedServers = createReportedServers(facts, clock, checkReportedServer);
    void checkSilences();
    return {
        recordSent,
        recordActivity,
        recordAttemptEnd,
        isUnresponsive: instanceId =>
            (servers.get(instanceId)?.unresponsive.signal.aborted ?? false) || reportedServers.isReported(instanceId),
        isProbed: instanceId => servers.get(instanceId)?.isProbed ?? false,
        getUnresponsiveSignal: instanceId => servers.get(instanceId)?.unresponsive.signal ?? neverAborted.signal,
        getGoneSignal: instanceId => servers.get(instanceId)?.gone.signal ?? neverAborted.signal,
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
            server.allowedSilenceMilliseconds = initialSilenceMilliseconds;
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
                if (isTooSilent) {
                    startProbing(server);
                }
            }
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
    }

    function checkReportedServer(instanceId: string): void {
        const server = servers.get(instanceId);
        if (server) {
            startProbing(server);
        }
    }

    function startProbing(server: MonitoredServer): void {
        if (!server.isProbed && server.attemptsInFlight > 0) {
            server.isProbed = true;
            void probeUntilResponsive(server);
        }
    }

    /** Sends probes until there is a response. */
    async function probeUntilResponsive(server: MonitoredServer): Promise<void> {
        const { instance, service } = server;
        const { instanceId } = instance;
        const start = clock.getMonotonicMilliseconds();
        const end = start + maximumProbingMilliseconds;
        let isResponsive = false;
        while (!signal.aborted && clock.getMonotonicMilliseconds() < end) {
            if (server.attemptsInFlight <= 0 && reportedServers.isReported(instanceId)) {
                await clock.sleep(probeIntervalMilliseconds, signal);
                continue;
            }
            const ended = new AbortController();
            const response = link.probe(instance, service, ended.signal);
            isResponsive = await waitWithTimeout(clock, response, probeTimeoutMilliseconds) ?? false;
            ended.abort();
            if (isResponsive) {
                break;
            }
            recordFailedProbe(server);
            await clock.sleep(probeIntervalMilliseconds, signal);
        }
        server.allowedSilenceMilliseconds = Math.min(
            maximumSilenceMilliseconds,
            silenceGrowthFactor * server.allowedSilenceMilliseconds,
        );
        reportedServers.endReport(instanceId);
        if (isResponsive) {
            reportedServers.contradict(instanceId);
        }
        if (server.unresponsive.signal.aborted) {
            const milliseconds = Math.round(clock.getMonotonicMilliseconds() - start);
            logger.info({ instanceId, milliseconds }, "backend server answers again");
            server.unresponsive = createServerController();
            server.gone = createServerController();
            server.allowedSilenceMilliseconds = initialSilenceMilliseconds;
        }
        server.lastActivityMilliseconds = clock.getMonotonicMilliseconds();
        server.isProbed = false;
        if (server.attemptsInFlight <= 0) {
            servers.delete(instanceId);
        }
    }

    function recordFailedProbe(server: MonitoredServer): void {
        const { instance: { instanceId }, attemptsInFlight: owed } = server;
        if (!server.unresponsive.signal.aborted) {
            logger.warn(
                { instanceId, owed, silenceMilliseconds: initialSilenceMilliseconds },
                "backend server is silent",
            );
            server.unresponsive.abort();
        }
        if (isObserverSuspect()) {
            return;
        }
        reportedServers.report(instanceId);
    }

    /** Returns whether most backend servers with attempts in flight are unresponsive or have a probe outstanding. */
    function isObserverSuspect(): boolean {
        const busy = [...servers.values()].filter(({ attemptsInFlight }) => attemptsInFlight > 0);
        const silentCount = busy.filter(({ isProbed }) => isProbed).length;
        return busy.length >= minimumServersForObserverFault && silentCount > busy.length / 2;
    }
}

function createMonitoredServer(instance: FleetInstance, service: BackendService, now: number): MonitoredServer {
    return {
        instance,
        service,
        attemptsInFlight: 0,
        lastActivityMilliseconds: now,
        allowedSilenceMilliseconds: initialSilenceMilliseconds,
        isProbed: false,
        unresponsive: createServerController(),
        gone: createServerController(),
    };
}

/** Creates the controller of a backend server's signal, to which each of its attempts adds a listener. */
function createServerController(): AbortController {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
}
