/*
 * Calls sidecars by connect-es. A sidecar first sends a sign that it has taken a call; one that gives none in time
 * counts as lost, as a silent network partition shows no other way.
 */
import { create } from "@bufbuild/protobuf";
import { Client, createClient } from "@connectrpc/connect";
import { getErrorMessage } from "../../errors";
import {
    CancelRequestSchema,
    CompanionService,
    DispatchEvent,
    DispatchRequest,
    FencingNumber,
    ForbidAttemptRequestSchema,
    ForbidAttemptResponse,
    PeerTransports,
    ResumeRequest,
} from "../../protocol";
import { Clock } from "../../runtime";
import { isNotConnected } from "./isNotConnected";
import { LinkEvent } from "./LinkEvent";
import { SidecarLink } from "./SidecarLink";

const firstEventTimeoutMilliseconds = 2_000;
const forbidTimeoutMilliseconds = 1_000;

type Call = (client: Client<typeof CompanionService>, signal: AbortSignal) => AsyncIterable<DispatchEvent>;

/**
 * Creates the link to sidecars.
 * @param transports - The connections.
 * @param clock - The passing of time.
 */
export function createSidecarLink(transports: PeerTransports, clock: Clock): SidecarLink {
    return {
        dispatch: (address, request: DispatchRequest, signal) =>
            stream(address, (client, callSignal) => client.dispatch(request, { signal: callSignal }), signal),
        resume: (address, request: ResumeRequest, signal) =>
            stream(address, (client, callSignal) => client.resume(request, { signal: callSignal }), signal),
        forbid,
        cancel,
    };

    async function* stream(address: string, call: Call, signal: AbortSignal): AsyncGenerator<LinkEvent> {
        const timeout = new AbortController();
        const firstEvent = new AbortController();
        let isWaitingForFirstEvent = true;
        void clock.sleep(firstEventTimeoutMilliseconds, firstEvent.signal).then(() => {
            if (isWaitingForFirstEvent) {
                timeout.abort();
            }
        });
        let events: AsyncIterator<DispatchEvent> | undefined;
        try {
            const callSignal = AbortSignal.any([signal, timeout.signal]);
            events = call(getClient(address), callSignal)[Symbol.asyncIterator]();
            for (let next = await events.next(); next.done !== true; next = await events.next()) {
                endFirstEventTimeout();
                yield { kind: "event", event: next.value };
            }
            yield { kind: "lost", message: "The answer broke off." };
        }
        catch (error) {
            yield { kind: isNotConnected(error) ? "notConnected" : "lost", message: getErrorMessage(error) };
        }
        finally {
            endFirstEventTimeout();
            void drainEvents(events);
        }

        /** Ends the wait for a first sign, once: an abort costs an error with its stack, however often it is repeated. */
        function endFirstEventTimeout(): void {
            if (isWaitingForFirstEvent) {
                isWaitingForFirstEvent = false;
                firstEvent.abort();
            }
        }
    }

    /** Reads a call to its end after its last event, so that the connection is not told of a cancelled call. */
    async function drainEvents(events: AsyncIterator<DispatchEvent> | undefined): Promise<void> {
        try {
            while (events !== undefined && (await events.next()).done !== true) {
                // Nobody waits for what comes after the last event.
            }
        }
        catch {
            // The call has ended, in whichever way.
        }
    }

    async function forbid(
        address: string,
        claim: FencingNumber,
        sidecarIncarnation: string,
    ): Promise<ForbidAttemptResponse | undefined> {
        const request = create(ForbidAttemptRequestSchema, { claim, companionIncarnation: sidecarIncarnation });
        const timeout = new AbortController();
        const finished = new AbortController();
        void clock.sleep(forbidTimeoutMilliseconds, finished.signal).then(() => timeout.abort());
        try {
            return await getClient(address).forbidAttempt(request, { signal: timeout.signal });
        }
        catch {
            return undefined;
        }
        finally {
            finished.abort();
        }
    }

    function cancel(address: string, requestId: string, attempt: number): void {
        const request = create(CancelRequestSchema, { requestId, attempt });
        getClient(address).cancel(request).catch(() => {
            // The sidecar gives up an attempt that nobody follows, also without being told.
        });
    }

    function getClient(address: string): Client<typeof CompanionService> {
        return createClient(CompanionService, transports.getTransport(address));
    }
}
