/*
 * Computes the digest that distinguishes a retried change from another change with the same id.
 */
import { createHash } from "node:crypto";
import { ConfigurationChange } from "../../protocol";

/** Gets the SHA-256 of the content of a change without its id, in hexadecimal. */
export function getChangeDigest(change: ConfigurationChange): string {
    const operations = change.operations.map(({ level, setting, value, removeLevel }) => {
        return [level, setting, value ?? false, removeLevel];
    });
    const content = JSON.stringify([change.author, change.expectedRevision.toString(), operations]);
    return createHash("sha256").update(content).digest("hex");
}
