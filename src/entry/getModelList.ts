/*
 * Creates the list of models in the format that client libraries expect.
 */
import { EffectiveSettings } from "../control/configuration";

/** The JSON body of the response to `GET /v1/models`. */
interface ModelList {
    object: "list";
    data: readonly { id: string; object: "model"; owned_by: string; }[];
}

/** Gets the models that a subscriber may use. */
export function getModelList(settings: EffectiveSettings): ModelList {
    const models = Object.entries(settings.values.models ?? {}).filter(([, permission]) => permission.allowed);
    return { object: "list", data: models.map(([id]) => ({ id, object: "model", owned_by: "basilwing" })) };
}
