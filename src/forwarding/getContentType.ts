/*
 * Reads the type of a response's body.
 */
import { HttpResponseHead } from "./HttpResponseHead";

/**
 * Gets the media type of a response, in lower case and without parameters; undefined where the response names none.
 * @param head - The head of the response.
 */
export function getContentType({ headers }: HttpResponseHead): string | undefined {
    const nameIndex = headers.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === "content-type");
    const [type] = headers[nameIndex + 1]?.split(";", 1) ?? [];
    return nameIndex < 0 ? undefined : type?.trim().toLowerCase();
}
