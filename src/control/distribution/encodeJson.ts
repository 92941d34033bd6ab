/*
 * The JSON encoding of query results.
 */

/**
 * Encodes a value as UTF-8 JSON. Integers above the largest safe integer become strings, and undefined properties are left
 * out.
 * @param value - The value; undefined gives no bytes.
 */
export function encodeJson(value: unknown): Uint8Array {
    const text = value === undefined
        ? ""
        : JSON.stringify(value, (...entry: [key: string, value: unknown]) => encodeValue(entry[1]));
    return new TextEncoder().encode(text);
}

function encodeValue(value: unknown): unknown {
    if (typeof value !== "bigint") {
        return value;
    }
    return value <= BigInt(Number.MAX_SAFE_INTEGER) ? Number(value) : value.toString();
}
