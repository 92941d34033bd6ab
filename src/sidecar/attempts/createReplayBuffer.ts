/*
 * Buffers the last events of an attempt in memory. Events that have been sent on a connection stay buffered, since they
 * may be lost with it.
 */
import { create } from "@bufbuild/protobuf";
import { DispatchEvent, DispatchEventSchema, RefusalReason, RunState } from "../../protocol";
import { AttemptEvent } from "../AttemptEvent";
import { createRefusedEvent } from "../createRefusedEvent";
import { ReplayBuffer } from "./ReplayBuffer";
import { ReplayBufferOptions } from "./ReplayBufferOptions";

const eventOverheadBytes = 64;

interface Follower {
    nextSequence: bigint;
    isReplaced: boolean;
}

interface BufferedEvent {
    event: DispatchEvent;
    bytes: number;
}

/** Creates an empty buffer. */
export function createReplayBuffer(options: ReplayBufferOptions): ReplayBuffer {
    const { appliesBackpressure, maximumBytes, requestId } = options;
    const followers = new Set<Follower>();
    const waiters = new Set<() => void>();
    const buffered: BufferedEvent[] = [];
    let firstSequence = 1n;
    let lastSequence = 0n;
    let bytes = 0;
    let isEnded = false;
    let isBackpressureStopped = false;
    return {
        add,
        isAvailable: sequence => sequence >= firstSequence && sequence <= lastSequence + 1n,
        follow,
        hasFollowers: () => followers.size > 0,
        hasEnded: () => isEnded,
        getBytes: () => bytes,
        stopBackpressure,
    };

    async function add(event: AttemptEvent): Promise<void> {
        lastSequence++;
        const numbered = create(DispatchEventSchema, { sequence: lastSequence, requestId, event });
        const eventBytes = getEventBytes(event);
        buffered.push({ event: numbered, bytes: eventBytes });
        bytes += eventBytes;
        isEnded = event.case === "end" || event.case === "refused";
        dropOldestEvents();
        notifyWaiters();
        while (appliesBackpressure && !isEnded && !isBackpressureStopped && bytes > maximumBytes) {
            await waitForChange();
            dropOldestEvents();
        }
    }

    /** Drops the oldest events beyond the byte limit. Under backpressure, drops only received events. */
    function dropOldestEvents(): void {
        while (bytes > maximumBytes && buffered.length > 1 && canDropOldest()) {
            bytes -= buffered.shift()!.bytes;
            firstSequence++;
        }
    }

    function canDropOldest(): boolean {
        if (!appliesBackpressure) {
            return true;
        }
        return followers.size > 0 && [...followers].every(follower => follower.nextSequence > firstSequence);
    }

    async function* follow(sequence: bigint, signal: AbortSignal): AsyncGenerator<DispatchEvent> {
        const follower = addFollower(sequence);
        signal.addEventListener("abort", notifyWaiters, { once: true });
        try {
            while (!signal.aborted && !follower.isReplaced) {
                if (follower.nextSequence < firstSequence) {
                    yield createOverrunEvent(requestId);
                    return;
                }
                const next = buffered[Number(follower.nextSequence - firstSequence)];
                if (next !== undefined) {
                    follower.nextSequence++;
                    notifyWaiters();
                    yield next.event;
                }
                else if (isEnded) {
                    return;
                }
                else {
                    await waitForChange();
                }
            }
        }
        finally {
            signal.removeEventListener("abort", notifyWaiters);
            followers.delete(follower);
            notifyWaiters();
        }
    }

    function addFollower(nextSequence: bigint): Follower {
        const follower = { nextSequence, isReplaced: false };
        if (appliesBackpressure) {
            followers.forEach(former => former.isReplaced = true);
            followers.clear();
        }
        followers.add(follower);
        notifyWaiters();
        return follower;
    }

    function waitForChange(): Promise<void> {
        return new Promise(resolve => {
            waiters.add(resolve);
        });
    }

    function notifyWaiters(): void {
        const resolves = [...waiters];
        waiters.clear();
        resolves.forEach(resolve => resolve());
    }

    function stopBackpressure(): void {
        isBackpressureStopped = true;
        notifyWaiters();
    }
}

/** Creates the event for a follower whose next event has been dropped. */
function createOverrunEvent(requestId: string): DispatchEvent {
    const message = "The answer ran ahead of its reader.";
    const event = createRefusedEvent(RefusalReason.LINK_LOST, RunState.RAN, message, 0n);
    return create(DispatchEventSchema, { sequence: 0n, requestId, event });
}

function getEventBytes(event: AttemptEvent): number {
    switch (event.case) {
        case "text":
            return eventOverheadBytes + event.value.text.length;
        case "body":
            return eventOverheadBytes + event.value.data.length;
        default:
            return eventOverheadBytes;
    }
}
