/*
 * A bounded store of stream origins. Beyond the bound, the oldest origins are dropped: their streams are the first that
 * callers can't resume any longer, and until then their resumption is refused.
 */
import { create } from "@bufbuild/protobuf";
import { StreamOrigin, StreamOriginSchema } from "../protocol";
import { Clock } from "../runtime";
import { StreamOriginStore } from "./StreamOriginStore";

/** The maximum number of origins, about 10 MB. */
const defaultMaximumCount = 32_768;

/**
 * Creates an empty store.
 * @param clock - Measures the lifetimes.
 * @param maximumCount - The maximum number of origins.
 */
export function createStreamOriginStore(clock: Clock, maximumCount = defaultMaximumCount): StreamOriginStore {
    /** The origins in the order in which they were added. */
    const entries = new Map<string, { origin: StreamOrigin; endMilliseconds: number; }>();
    return { add, get, getAll, getCount: () => entries.size };

    function add(origin: StreamOrigin): void {
        const { requestId, attemptNumber, lifetimeMilliseconds } = origin;
        if ((get(requestId)?.attemptNumber ?? 0) > attemptNumber) {
            return;
        }
        const now = clock.getMonotonicMilliseconds();
        entries.delete(requestId);
        entries.set(requestId, { origin, endMilliseconds: now + lifetimeMilliseconds });
        removeOldest(now);
    }

    function get(requestId: string): StreamOrigin | undefined {
        const entry = entries.get(requestId);
        return entry && entry.endMilliseconds > clock.getMonotonicMilliseconds() ? entry.origin : undefined;
    }

    function getAll(): readonly StreamOrigin[] {
        const now = clock.getMonotonicMilliseconds();
        return [...entries.values()]
            .filter(({ endMilliseconds }) => endMilliseconds > now)
            .map(({ origin, endMilliseconds }) =>
                create(StreamOriginSchema, { ...origin, lifetimeMilliseconds: Math.ceil(endMilliseconds - now) })
            );
    }

    /** Removes expired origins from the oldest on, and those beyond the bound. */
    function removeOldest(now: number): void {
        for (const [requestId, { endMilliseconds }] of entries) {
            if (endMilliseconds > now && entries.size <= maximumCount) {
                return;
            }
            entries.delete(requestId);
        }
    }
}
