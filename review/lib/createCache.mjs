/*
 * The KV cache of a model replica as PROTOCOL.md describes it: parts are found only under the salt under which they were
 * stored, an absent salt counts as one text shared by all, and a part is used only if all parts before it are there.
 */

/** Creates an empty cache; the tenant whose request made a part is kept for the check of the rule WALL. */
export function createCache() {
    const makers = new Map();
    return { run };

    /**
     * Runs a request: uses the parts that are cached and stores the others.
     * @param headers - The headers of the request as the replica got them.
     * @returns The parts that were used, each with the tenant whose request made it.
     */
    function run(headers) {
        const salt = headers["basilwing-cache-salt"] ?? "";
        const tenant = headers["basilwing-tenant"];
        const ids = (headers["basilwing-prefix-hash"] ?? "").split(",").map(part => part.split(":")[0]);
        const used = [];
        let isCached = true;
        for (const id of ids) {
            const key = JSON.stringify([headers["basilwing-model"], salt, id]);
            isCached &&= makers.has(key);
            if (isCached) {
                used.push({ id, maker: makers.get(key) });
            }
            else {
                makers.set(key, makers.get(key) ?? tenant);
            }
        }
        return used;
    }
}
