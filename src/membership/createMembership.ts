/*
 * Connects a process's directory, lease, authority and session with each other. A process that has just started fetches
 * its first state from sidecars while no control member can be reached.
 */
import { create } from "@bufbuild/protobuf";
import { GaugeName } from "../metrics";
import { FetchStateRequestSchema, FetchStateResponse } from "../protocol";
import { createAuthority } from "./createAuthority";
import { createControlSession } from "./createControlSession";
import { createDirectory } from "./createDirectory";
import { createPeerConfirmationPromises } from "./createPeerConfirmationPromises";
import { createProcessLease } from "./createProcessLease";
import { createSessionOpener } from "./createSessionOpener";
import { createSidecarPeers } from "./createSidecarPeers";
import { createSidecarSetView } from "./createSidecarSetView";
import { createStateHandler } from "./createStateHandler";
import { Membership } from "./Membership";
import { MembershipOptions } from "./MembershipOptions";
import { runPeerConfirmationRound } from "./runPeerConfirmationRound";
import { shuffle } from "./shuffle";

const coldStartDelayMilliseconds = 300;
const coldStartRetryMilliseconds = 500;
const maximumConcurrentFetches = 3;

/**
 * Creates a process's membership and opens its session.
 * @param options - What the membership depends on.
 */
export function createMembership(options: MembershipOptions): Membership {
    const { identity, transports, configuration, clock, random, logger, metrics } = options;
    const peers = options.sidecarPeers ?? createSidecarPeers(transports);
    const directory = createDirectory({ clock });
    const lease = createProcessLease(clock);
    const sidecarSet = createSidecarSetView();
    const confirmationPromises = createPeerConfirmationPromises(clock);
    const authority = createAuthority({
        clock,
        getRevision: configuration.getRevision,
        lease,
        sidecarSet,
        runConfirmationRound,
        fetchNewerState,
    });
    const stateHandler = createStateHandler({
        instanceId: identity.instanceId,
        authority,
        lease,
        sidecarSet,
        directory,
        confirmationPromises,
        getSnapshot: configuration.getSnapshot,
    });
    const session = createControlSession({
        ...options,
        openSession: options.openSession ?? createSessionOpener(transports),
        directory,
        lease,
        sidecarSet,
        confirmationPromises,
    });
    const stopped = new AbortController();
    const coldStart = fetchFirstState();
    metrics.addGauge(GaugeName.ConfigurationRevision, () => Number(configuration.getRevision()));
    metrics.addGauge(GaugeName.LeaseRemaining, lease.getRemainingMilliseconds);
    metrics.addGauge(GaugeName.DirectorySize, () => directory.getRecords().length);
    return { directory, authority, session, stateHandler, stop };

    function runConfirmationRound() {
        return runPeerConfirmationRound({
            revision: configuration.getRevision(),
            sidecarSet,
            directory,
            peers,
            random,
        });
    }

    /** Fetches the configuration and the sidecar set of a sidecar that has newer ones. */
    async function fetchNewerState(instanceId: string): Promise<void> {
        const address = directory.getRecord(instanceId)?.address;
        if (address !== undefined) {
            await fetchFrom(address, true);
        }
    }

    async function fetchFrom(address: string, withoutDirectory: boolean): Promise<void> {
        const request = create(FetchStateRequestSchema, {
            configurationRevision: configuration.getRevision(),
            companionSetNumber: sidecarSet.getNumber(),
            withoutDirectory,
        });
        const response = await peers.fetchState(address, request);
        if (response !== undefined) {
            applyState(response);
        }
    }

    function applyState(state: FetchStateResponse): void {
        state.records.forEach(directory.mergeRecord);
        if (state.companionSet !== undefined) {
            sidecarSet.apply(state.companionSet);
        }
        if (state.configuration !== undefined) {
            configuration.applySnapshot(state.configuration);
        }
    }

    /** Fetches state from sidecars until there is a configuration, from them or from a control member. */
    async function fetchFirstState(): Promise<void> {
        const { getPeerAddresses } = options;
        if (getPeerAddresses === undefined) {
            return;
        }
        await clock.sleep(coldStartDelayMilliseconds, stopped.signal);
        while (configuration.getRevision() === 0n && !stopped.signal.aborted) {
            const addresses = shuffle([...await getPeerAddresses()], random).slice(0, maximumConcurrentFetches);
            await Promise.all(addresses.map(address => fetchFrom(address, false)));
            if (configuration.getRevision() > 0n) {
                logger.info({ revision: String(configuration.getRevision()) }, "fetched the first state from sidecars");
                return;
            }
            await clock.sleep(coldStartRetryMilliseconds, stopped.signal);
        }
    }

    async function stop(): Promise<void> {
        stopped.abort();
        await coldStart;
        await session.stop();
    }
}
