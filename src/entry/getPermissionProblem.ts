/*
 * Checks whether the settings in force permit a request.
 */
import { EffectiveSettings } from "../control/configuration";
import { CallerWork } from "./CallerWork";
import { isModelAllowed } from "./isModelAllowed";

/**
 * Gets the reason why a request is not permitted.
 * @param settings - The effective settings of the subscriber.
 * @param work - The completion request or service call.
 * @returns The message for the caller; undefined where the request is permitted.
 */
export function getPermissionProblem(settings: EffectiveSettings, work: CallerWork): string | undefined {
    if (work.kind === "completion") {
        const isAllowed = isModelAllowed(settings, work.request.model, work.request.version);
        return isAllowed ? undefined : "This model or version may not be used.";
    }
    const isAllowed = Object.hasOwn(settings.values.services ?? {}, work.call.service);
    return isAllowed ? undefined : "This service may not be used.";
}
