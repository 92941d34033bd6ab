/*
 * Checks the permission to use a model.
 */
import { EffectiveSettings } from "../control/configuration";

/**
 * Returns whether settings allow a model.
 * @param settings - The effective settings of the subscriber.
 * @param model - The model's name.
 * @param version - The requested version; undefined where the request names none.
 */
export function isModelAllowed(settings: EffectiveSettings, model: string, version: string | undefined): boolean {
    const models = settings.values.models ?? {};
    const permission = Object.hasOwn(models, model) ? models[model] : undefined;
    if (permission === undefined || !permission.allowed) {
        return false;
    }
    return version === undefined || permission.versions === undefined || permission.versions.includes(version);
}
