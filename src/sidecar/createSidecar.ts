/*
 * The sidecar: accepts attempts from entry processes, queues them, runs them at its backend server and streams their
 * events.
 */
import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { CompanionService, FetchStateResponseSchema, VouchResponse, VouchResponseSchema } from "../protocol";
import { createCrashDetector } from "./crashes";
import { createAttemptServer } from "./createAttemptServer";
import { createBackendWatcher } from "./createBackendWatcher";
import { createInstrumentedBackend } from "./createInstrumentedBackend";
import { Sidecar } from "./Sidecar";
import { SidecarOptions } from "./SidecarOptions";

const drainPollIntervalMilliseconds = 20;

/** Creates a sidecar and starts its tasks. */
export function createSidecar(sidecarOptions: SidecarOptions): Sidecar {
    const backend = createInstrumentedBackend(sidecarOptions.backend, sidecarOptions.metrics);
    const options = { ...sidecarOptions, backend };
    const { authority, clock, scheduler, settings, stateHandler } = options;
    const watcher = createBackendWatcher(options);
    const crashDetector = backend.kind === "engine"
        ? createCrashDetector({ ...options, control: options.control, adapter: backend.adapter })
        : undefined;
    const attemptServer = createAttemptServer(options, watcher.getState, crashDetector);
    return {
        addServices,
        getBackendState: watcher.getState,
        addStateListener: watcher.addListener,
        startLeaving,
        getInFlightCount: attemptServer.getInFlightCount,
        stop,
    };

    function addServices(router: ConnectRouter): void {
        router.service(CompanionService, {
            dispatch: attemptServer.dispatch,
            resume: attemptServer.resume,
            forbidAttempt: attemptServer.forbidAttempt,
            cancel: attemptServer.cancel,
            vouch: request => stateHandler?.confirmRevision(request) ?? createOwnConfirmation(),
            fetchState: request => stateHandler?.fetchState(request) ?? create(FetchStateResponseSchema),
        });
    }

    /** Creates the confirmation of a sidecar whose configuration never changes. */
    function createOwnConfirmation(): VouchResponse {
        return create(VouchResponseSchema, {
            configurationRevision: authority.getRevision(),
            leaseFresh: authority.isLeaseFresh(),
        });
    }

    function startLeaving(): void {
        watcher.setLeaving();
        scheduler.drain();
    }

    async function stop(): Promise<void> {
        startLeaving();
        const deadline = clock.getMonotonicMilliseconds() + settings.drainDeadlineMilliseconds;
        while (attemptServer.getInFlightCount() > 0 && clock.getMonotonicMilliseconds() < deadline) {
            await clock.sleep(drainPollIntervalMilliseconds);
        }
        await watcher.stop();
    }
}
