/*
 * A weight source that fetches weights from the weight store over HTTP.
 */
import { request } from "undici";
import { WeightSource } from "../engine";

/**
 * Creates a weight source.
 * @param address - The weight store's address, as `http://ip:port`.
 */
export function createWeightStoreSource(address: string): WeightSource {
    return { fetch: fetchWeights };

    async function fetchWeights(name: string, signal: AbortSignal): Promise<boolean> {
        try {
            const response = await request(`${address}/weights/${encodeURIComponent(name)}`, { signal });
            await response.body.dump();
            return response.statusCode === 200;
        }
        catch {
            return false;
        }
    }
}
