/*
 * One request of a workload.
 */
import { PriorityName } from "../../control/configuration";
import { PromptPart } from "./PromptPart";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

/** A request with its arrival time, which does not depend on earlier requests. */
export type WorkloadRequest =
    | {
        kind: "completion";
        /** The arrival time, in milliseconds from the workload's start. */
        arrivalMilliseconds: number;
        /** The subscriber that sends it. */
        subscriber: WorkloadSubscriber;
        /** The purpose of the completion. */
        purpose: "summary" | "classification" | "label";
        /** Whether it generates only a few tokens, for which a person waits. */
        isShort: boolean;
        /** The parts of the prompt, the most widely shared one first. */
        parts: readonly PromptPart[];
        /** The maximum number of tokens to generate. */
        maximumTokens: number;
        /** The priority that the request states. */
        priority: PriorityName;
        /** Whether it is part of the excess traffic of one subscriber. */
        isExcess: boolean;
    }
    | {
        kind: "service";
        /** The arrival time, in milliseconds from the workload's start. */
        arrivalMilliseconds: number;
        /** The subscriber that sends it. */
        subscriber: WorkloadSubscriber;
        /** The service's name. */
        service: string;
        /** The action; `release` and `publish` must not run twice. */
        action: "release" | "publish" | "status";
        /** The key of the object that is released, published or read. */
        key: string;
        /** Whether the caller sends it again with the same idempotency key, without waiting for the first response. */
        isResent: boolean;
    };
