/*
 * Refuses calls and messages of a peer that sends more than its service's bounds allow, before any handler sees them.
 */
import type { DescService, Message } from "@bufbuild/protobuf";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { Clock } from "../runtime";
import { createRateBucket } from "./createRateBucket";
import { getServiceLimits } from "./getServiceLimits";
import { peerNameKey } from "./peerNameKey";
import { ServiceLimits } from "./ServiceLimits";

type RateBucket = ReturnType<typeof createRateBucket>;

const bucketCleanupThreshold = 1_024;

/**
 * Creates the interceptor that bounds each peer's use of each service.
 * @param clock - The passing of time.
 * @param onRefusal - Called with the peer's name and what it exceeded.
 * @param getLimits - Gets a service's bounds.
 */
export function createRateLimitInterceptor(
    clock: Clock,
    onRefusal: (peer: string, problem: string) => void,
    getLimits: (service: DescService) => ServiceLimits = getServiceLimits,
): Interceptor {
    const buckets = new Map<string, RateBucket>();
    return next => async request => {
        const peer = request.contextValues.get(peerNameKey);
        const bucket = getBucket(peer, request.method.parent);
        takeOrThrow(bucket, peer);
        if (request.stream) {
            return next({ ...request, message: limitMessages(request.message, bucket, peer) });
        }
        return next(request);
    };

    function getBucket(peer: string, service: DescService): RateBucket {
        const key = `${peer} ${service.typeName}`;
        const existing = buckets.get(key);
        if (existing !== undefined) {
            return existing;
        }
        removeFullBuckets();
        const { messagesPerSecond, messageBurst } = getLimits(service);
        const bucket = createRateBucket(messagesPerSecond, messageBurst, clock);
        buckets.set(key, bucket);
        return bucket;
    }

    /** Forgets peers that have been quiet, once many are held. */
    function removeFullBuckets(): void {
        if (buckets.size < bucketCleanupThreshold) {
            return;
        }
        for (const [key, bucket] of buckets) {
            if (bucket.isFull()) {
                buckets.delete(key);
            }
        }
    }

    async function* limitMessages(
        messages: AsyncIterable<Message>,
        bucket: RateBucket,
        peer: string,
    ): AsyncIterable<Message> {
        for await (const message of messages) {
            takeOrThrow(bucket, peer);
            yield message;
        }
    }

    function takeOrThrow(bucket: RateBucket, peer: string): void {
        if (!bucket.tryTake()) {
            const problem = "sent more messages than the service's bounds allow";
            onRefusal(peer, problem);
            throw new ConnectError(`${peer} ${problem}`, Code.ResourceExhausted, { "basilwing-run": "no" });
        }
    }
}
