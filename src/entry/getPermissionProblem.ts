/*
 * Checks a request against the settings in force.
 */
import { EffectiveSettings } from "../control/configuration";
import { CallerWork } from "./CallerWork";
import { isModelAllowed } from "./isModelAllowed";

/** Gets why a request is not allowed; undefined where it is. */
export function getPermissionProblem(settings: EffectiveSettings, work: CallerWork): string | undefined {
    if (work.kind === "completion") {
        const isAllowed = isModelAllowed(settings, work.request.model, work.request.version);
        return isAllowed ? undefined : "This model or version may not be used.";
    }
    const isAllowed = Object.hasOwn(settings.values.services ?? {}, work.call.service);
    return isAllowed ? undefined : "This service may not be used.";
}
