/*
 * Renders prompts as synthetic text that is determined by the ids of the parts.
 */
import { LRUCache } from "lru-cache";
import { createHash } from "node:crypto";
import { createRandomSource } from "../../runtime";
import { PromptPart } from "./PromptPart";

const maximumCachedTexts = 512;
const words =
    "the locker key tenant carer note file cell notebook claim report column returned opened signed at by for";
const vocabulary = words.split(" ");

interface PromptRenderer {
    /**
     * Gets the chat messages of a prompt: the first part as the system message, the other ones as the user message.
     * @param parts - The parts of the prompt.
     */
    getMessages(parts: readonly PromptPart[]): { role: string; content: string; }[];
}

/** Creates a renderer, which caches the texts of recently used parts. */
export function createPromptRenderer(): PromptRenderer {
    const texts = new LRUCache<string, string>({ max: maximumCachedTexts });
    return { getMessages };

    function getMessages(parts: readonly PromptPart[]): { role: string; content: string; }[] {
        const [first, ...rest] = parts.map(getText);
        return [{ role: "system", content: first ?? "" }, { role: "user", content: rest.join("") }];
    }

    /** Gets a part's text; of two parts with the same id, the longer one begins with the shorter one. */
    function getText(part: PromptPart): string {
        const cachedText = texts.get(part.id);
        if (cachedText !== undefined && cachedText.length >= part.tokens) {
            return cachedText.slice(0, part.tokens);
        }
        const text = createText(part);
        texts.set(part.id, text);
        return text;
    }
}

function createText(part: PromptPart): string {
    const random = createRandomSource(createHash("sha256").update(part.id).digest().readInt32LE(0));
    const chosen: string[] = [];
    for (let length = 0; length < part.tokens;) {
        const word = vocabulary[random.getInteger(vocabulary.length)]!;
        chosen.push(word);
        length += word.length + 1;
    }
    return `${chosen.join(" ")} `.slice(0, part.tokens);
}
