/*
 * Renders a request's prompt as one text, so that conversations with a shared prefix have texts with a shared prefix.
 */

/**
 * Renders the prompt of a completion request.
 * @param body - The parsed JSON body of the request.
 * @param isChat - Whether the body has chat messages instead of a prompt.
 * @returns The text; undefined where the request has no valid prompt.
 */
export function renderPrompt(body: Readonly<Record<string, unknown>>, isChat: boolean): string | undefined {
    if (!isChat) {
        return typeof body["prompt"] === "string" ? body["prompt"] : undefined;
    }
    const messages = body["messages"];
    if (!Array.isArray(messages) || messages.length === 0) {
        return undefined;
    }
    const parts: string[] = [];
    for (const message of messages) {
        const part = renderMessage(message);
        if (part === undefined) {
            return undefined;
        }
        parts.push(part);
    }
    return parts.join("");
}

/** Renders one chat message; undefined where it is invalid. */
function renderMessage(message: unknown): string | undefined {
    const { role, content } = (message ?? {}) as { role?: unknown; content?: unknown; };
    if (typeof role !== "string") {
        return undefined;
    }
    const text = typeof content === "string" ? content : renderContentParts(content);
    return text === undefined ? undefined : `<${role}>\n${text}\n`;
}

/** Renders message content that is a list of text parts; undefined where a part is no text. */
function renderContentParts(content: unknown): string | undefined {
    if (!Array.isArray(content)) {
        return undefined;
    }
    const texts = content.map(part => (part as { text?: unknown; } | undefined)?.text);
    return texts.every(text => typeof text === "string") ? texts.join("") : undefined;
}
