/*
 * One request of a workload.
 */
import { PriorityName } from "../../control/configuration";
import { PromptPart } from "./PromptPart";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

/** A request, with the time at which it arrives, whatever became of those before. */
export type WorkloadRequest =
    | {
        kind: "completion";
        /** When it arrives, in milliseconds from the start. */
        arrivalMilliseconds: number;
        subscriber: WorkloadSubscriber;
        purpose: "summary" | "classification" | "label";
        /** Whether a person waits for a word or two. */
        isShort: boolean;
        /** The prompt, the part that most requests share first. */
        parts: readonly PromptPart[];
        maximumTokens: number;
        priority: PriorityName;
        /** Whether it belongs to the one subscriber that asks for far more than its share. */
        isExcess: boolean;
    }
    | {
        kind: "service";
        /** When it arrives, in milliseconds from the start. */
        arrivalMilliseconds: number;
        subscriber: WorkloadSubscriber;
        service: string;
        /** `release` and `publish` may not run twice. */
        action: "release" | "publish" | "status";
        /** What is released, published or read. */
        key: string;
        /** Whether the caller sends it again, under the same idempotency key, before it has an answer. */
        isResent: boolean;
    };
