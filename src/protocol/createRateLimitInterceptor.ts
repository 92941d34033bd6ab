/*
 * Refuses the calls and messages of a peer that exceeds the rate limit of a service, before they reach a handler.
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
 * Creates the interceptor that limits the rate of each peer's calls and messages to each service. Calls beyond the
 * limit fail with `ResourceExhausted`.
 * @param clock - The clock by which rates are measured.
 * @param onRefusal - Called with the peer's name and the reason for the refusal.
 * @param getLimits - Gets a service's limits.
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

    /** Removes the full buckets, whose peers have been idle, once the number of buckets reaches the threshold. */
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
