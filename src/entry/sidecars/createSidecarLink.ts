/*
 * Calls sidecars with connect-es. A sidecar acknowledges a call with a first event. A call without one counts as lost
 * after a timeout, which is the only way to detect a network partition that drops packets without an error.
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
 * Creates the client for calls to sidecars.
 * @param transports - The connections to the sidecars, by address.
 * @param clock - Measures the timeouts of calls.
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
            yield { kind: "lost", message: "the response ended early" };
        }
        catch (error) {
            yield { kind: isNotConnected(error) ? "notConnected" : "lost", message: getErrorMessage(error) };
        }
        finally {
            endFirstEventTimeout();
            void drainEvents(events);
        }

        /** Ends the wait for the first event. Aborts only once, as each abort creates an error with its stack trace. */
        function endFirstEventTimeout(): void {
            if (isWaitingForFirstEvent) {
                isWaitingForFirstEvent = false;
                firstEvent.abort();
            }
        }
    }

    /** Reads a call to its end after its last event, so that it isn't reported to the connection as cancelled. */
    async function drainEvents(events: AsyncIterator<DispatchEvent> | undefined): Promise<void> {
        try {
            while (events !== undefined && (await events.next()).done !== true) {
                // Nothing is expected after the last event.
            }
        }
        catch {
            // The call has ended, and its error has no effect after the last event.
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
            // The sidecar cancels an attempt without a follower by itself.
        });
    }

    function getClient(address: string): Client<typeof CompanionService> {
        return createClient(CompanionService, transports.getTransport(address));
    }
}
