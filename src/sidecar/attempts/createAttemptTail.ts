/*
 * Keeps the last events of an attempt in memory. Events that have been handed to a connection are kept as well, since
 * they may be lost with it.
 */
import { create } from "@bufbuild/protobuf";
import { DispatchEvent, DispatchEventSchema, RefusalReason, RunState } from "../../protocol";
import { AttemptEvent } from "../AttemptEvent";
import { createRefusedEvent } from "../createRefusedEvent";
import { AttemptTail } from "./AttemptTail";
import { AttemptTailOptions } from "./AttemptTailOptions";

const eventOverheadBytes = 64;

interface Follower {
    next: bigint;
    isReplaced: boolean;
}

interface KeptEvent {
    event: DispatchEvent;
    bytes: number;
}

/** Creates the tail of an attempt that has no events yet. */
export function createAttemptTail(options: AttemptTailOptions): AttemptTail {
    const { holdsBack, maximumBytes, requestId } = options;
    const followers = new Set<Follower>();
    const waiting = new Set<() => void>();
    const kept: KeptEvent[] = [];
    let firstSequence = 1n;
    let lastSequence = 0n;
    let bytes = 0;
    let isEnded = false;
    let isReleased = false;
    return {
        add,
        isKept: sequence => sequence >= firstSequence && sequence <= lastSequence + 1n,
        follow,
        isFollowed: () => followers.size > 0,
        hasEnded: () => isEnded,
        getBytes: () => bytes,
        release,
    };

    async function add(event: AttemptEvent): Promise<void> {
        lastSequence++;
        const numbered = create(DispatchEventSchema, { sequence: lastSequence, requestId, event });
        const eventBytes = getEventBytes(event);
        kept.push({ event: numbered, bytes: eventBytes });
        bytes += eventBytes;
        isEnded = event.case === "end" || event.case === "refused";
        trim();
        wake();
        while (holdsBack && !isEnded && !isReleased && bytes > maximumBytes) {
            await sleepUntilWoken();
            trim();
        }
    }

    /** Drops the oldest events beyond the bytes allowed, but none that a reader who is waited for has not had. */
    function trim(): void {
        while (bytes > maximumBytes && kept.length > 1 && mayDropFirst()) {
            bytes -= kept.shift()!.bytes;
            firstSequence++;
        }
    }

    function mayDropFirst(): boolean {
        if (!holdsBack) {
            return true;
        }
        return followers.size > 0 && [...followers].every(follower => follower.next > firstSequence);
    }

    async function* follow(sequence: bigint, signal: AbortSignal): AsyncGenerator<DispatchEvent> {
        const follower = addFollower(sequence);
        signal.addEventListener("abort", wake, { once: true });
        try {
            while (!signal.aborted && !follower.isReplaced) {
                if (follower.next < firstSequence) {
                    yield createCutEvent(requestId);
                    return;
                }
                const next = kept[Number(follower.next - firstSequence)];
                if (next !== undefined) {
                    follower.next++;
                    wake();
                    yield next.event;
                }
                else if (isEnded) {
                    return;
                }
                else {
                    await sleepUntilWoken();
                }
            }
        }
        finally {
            signal.removeEventListener("abort", wake);
            followers.delete(follower);
            wake();
        }
    }

    function addFollower(next: bigint): Follower {
        const follower = { next, isReplaced: false };
        if (holdsBack) {
            followers.forEach(former => former.isReplaced = true);
            followers.clear();
        }
        followers.add(follower);
        wake();
        return follower;
    }

    function sleepUntilWoken(): Promise<void> {
        return new Promise(resolve => {
            waiting.add(resolve);
        });
    }

    function wake(): void {
        const resolves = [...waiting];
        waiting.clear();
        resolves.forEach(resolve => resolve());
    }

    function release(): void {
        isReleased = true;
        wake();
    }
}

/** Gets the event for a reader whose next event is no longer kept. */
function createCutEvent(requestId: string): DispatchEvent {
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
