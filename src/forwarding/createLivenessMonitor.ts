/*
 * Detects backend servers that stop responding without closing their connections, as when some of them accept requests
 * and never respond. A backend server with attempts in flight that sends nothing for some time is probed by a call that
 * needs no slot. If the probe gets no response, it is considered unresponsive until one does, and the other entry processes
 * are told; one that hears of it probes the server at once if it has attempts in flight there. Where most backend servers
 * with attempts in flight are silent, the cause is rather this process or its network: the others need not know. Silence
 * is no evidence that a server is gone, however long it lasts, nor is a refused connection, as a server may take no new ones
 * while it ends its work; that another instance answers at its address, is. Timers run before connections are read, so what
 * has arrived is read before a silence is judged, and the time in which the event loop stood still does not count as silence.
 */
import { setMaxListeners } from "node:events";
import { InstanceState } from "../crashQuarantine";
import { BackendService } from "../documents";
import { TaskName } from "../metrics";
import { FleetInstance } from "../protocol";
import { waitWithTimeout } from "../runtime";
import { startTask } from "../supervision";
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
/** How much of the time between two checks counts as silence: a check that comes later shows that nothing was read. */
const maximumCountedMilliseconds = 2 * checkIntervalMilliseconds;
/**
 * How long an unresponsive backend server is probed: by then the platform's list has removed it or given it a new id.
 */
const maximumProbingMilliseconds = 60_000;

/** A moment, by the clock and by the time in which this process was able to read. */
interface Moment {
    clockMilliseconds: number;
    readingMilliseconds: number;
}

/** A backend server with attempts in flight, or one that is being probed. */
interface MonitoredServer {
    /** The instance as it was sent to last: after a restart, it may have another address under the same id. */
    instance: FleetInstance;
    service: BackendService;
    attemptsInFlight: number;
    lastActivity: Moment;
    /** Whether something was received since the first probe was sent. */
    isActiveAgain: boolean;
    /** How long it may be inactive before it is probed. */
    allowedSilenceMilliseconds: number;
    isProbed: boolean;
    /** Aborted once it is considered unresponsive. */
    unresponsive: AbortController;
    /** Aborted once a probe has shown that it is gone. */
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
    let lastCheck: Moment = { clockMilliseconds: clock.getMonotonicMilliseconds(), readingMilliseconds: 0 };
    startTask(TaskName.SilenceChecks, checkSilences, options);
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
        const now = getMoment();
        const server = servers.get(instance.instanceId)
            ?? createMonitoredServer(instance, service, now);
        servers.set(instance.instanceId, server);
        server.instance = instance;
        server.service = service;
        if (server.attemptsInFlight === 0) {
            server.lastActivity = now;
        }
        server.attemptsInFlight += 1;
    }

    function recordActivity(instanceId: string): void {
        const server = servers.get(instanceId);
        if (server) {
            server.lastActivity = getMoment();
            server.isActiveAgain = true;
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
            lastCheck = getMoment();
            if ([...servers.values()].some(isTooSilent)) {
                await options.pollConnections();
                [...servers.values()].filter(isTooSilent).forEach(startProbing);
            }
            await clock.sleep(checkIntervalMilliseconds, signal);
        }
    }

    function isTooSilent(server: MonitoredServer): boolean {
        const silenceMilliseconds = getMoment().readingMilliseconds - server.lastActivity.readingMilliseconds;
        return !server.isProbed && silenceMilliseconds > server.allowedSilenceMilliseconds;
    }

    /** Gets the current moment; of the time since the last check, no more counts than checks in time have between them. */
    function getMoment(): Moment {
        const clockMilliseconds = clock.getMonotonicMilliseconds();
        const elapsedMilliseconds = clockMilliseconds - lastCheck.clockMilliseconds;
        const countedMilliseconds = Math.min(maximumCountedMilliseconds, elapsedMilliseconds);
        return { clockMilliseconds, readingMilliseconds: lastCheck.readingMilliseconds + countedMilliseconds };
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
            server.isActiveAgain = false;
            startTask(TaskName.Probing, () => probeUntilResponsive(server), options);
        }
    }

    /** Sends probes until there is a response, or until something else is received from the server. */
    async function probeUntilResponsive(server: MonitoredServer): Promise<void> {
        const { instanceId } = server.instance;
        const start = clock.getMonotonicMilliseconds();
        const end = start + maximumProbingMilliseconds;
        let isResponsive = false;
        while (!signal.aborted && clock.getMonotonicMilliseconds() < end) {
            if (server.attemptsInFlight <= 0 && reportedServers.isReported(instanceId)) {
                await clock.sleep(probeIntervalMilliseconds, signal);
                continue;
            }
            const state = await getState(server);
            isResponsive = state === InstanceState.Serving;
            if (isResponsive) {
                break;
            }
            recordFailedProbe(server, state);
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
        server.lastActivity = getMoment();
        server.isProbed = false;
        if (server.attemptsInFlight <= 0) {
            servers.delete(instanceId);
        }
    }

    /** Gets the state of a server by a probe; one that sends something serves, even if it accepts no connections any more. */
    async function getState(server: MonitoredServer): Promise<InstanceState> {
        const { address } = server.instance;
        const state = server.isActiveAgain ? InstanceState.Serving : await sendProbe(server);
        if (state === InstanceState.Ended) {
            // What the server has sent may have arrived with the answer of the other instance.
            await options.pollConnections();
        }
        if (server.isActiveAgain || state === InstanceState.Serving) {
            return InstanceState.Serving;
        }
        return server.instance.address === address ? state : getState(server);
    }

    /** Sends a probe, which runs out once this process was able to read for long enough and has read what has arrived. */
    async function sendProbe({ instance, service }: MonitoredServer): Promise<InstanceState> {
        const ended = new AbortController();
        const response = link.checkInstance(instance, service, ended.signal);
        const end = getMoment().readingMilliseconds + probeTimeoutMilliseconds;
        let remainingMilliseconds = probeTimeoutMilliseconds;
        let state = await waitWithTimeout(clock, response, remainingMilliseconds);
        while (state === undefined && remainingMilliseconds > 0) {
            await options.pollConnections();
            remainingMilliseconds = Math.max(0, end - getMoment().readingMilliseconds);
            state = await waitWithTimeout(clock, response, remainingMilliseconds);
        }
        ended.abort();
        return state ?? InstanceState.Unknown;
    }

    function recordFailedProbe(server: MonitoredServer, state: InstanceState): void {
        const { instance: { instanceId }, attemptsInFlight: owed } = server;
        if (!server.unresponsive.signal.aborted) {
            logger.warn({ instanceId, owed, ...getSilence(server.lastActivity) }, "backend server is silent");
            server.unresponsive.abort();
        }
        const isGone = state === InstanceState.Ended;
        if (isGone && !server.gone.signal.aborted) {
            logger.warn({ instanceId, owed }, "backend server is gone");
            server.gone.abort();
        }
        if (isGone || !isObserverSuspect()) {
            reportedServers.report(instanceId);
        }
    }

    /** Gets the log fields of a silence: its length, and for how much of it the event loop stood still. */
    function getSilence(lastActivity: Moment): object {
        const { clockMilliseconds, readingMilliseconds } = getMoment();
        const silenceMilliseconds = clockMilliseconds - lastActivity.clockMilliseconds;
        const countedMilliseconds = readingMilliseconds - lastActivity.readingMilliseconds;
        return {
            silenceMilliseconds: Math.round(silenceMilliseconds),
            loopDelayMilliseconds: Math.round(silenceMilliseconds - countedMilliseconds),
        };
    }

    /** Returns whether most backend servers with attempts in flight are unresponsive or have a probe outstanding. */
    function isObserverSuspect(): boolean {
        const busy = [...servers.values()].filter(({ attemptsInFlight }) => attemptsInFlight > 0);
        const silentCount = busy.filter(({ isProbed }) => isProbed).length;
        return busy.length >= minimumServersForObserverFault && silentCount > busy.length / 2;
    }
}

function createMonitoredServer(instance: FleetInstance, service: BackendService, now: Moment): MonitoredServer {
    return {
        instance,
        service,
        attemptsInFlight: 0,
        lastActivity: now,
        isActiveAgain: false,
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
