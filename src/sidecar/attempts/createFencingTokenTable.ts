/*
 * Records a limited number of fencing tokens. Tokens are positions in the replicated log and so have an order. The table
 * keeps the highest token it has discarded: an unrecorded token at or below it may have been seen, so that it neither
 * runs nor counts as never run.
 */
import { FencingNumber } from "../../protocol";
import { FencingTokenState } from "./FencingTokenState";
import { FencingTokenTable } from "./FencingTokenTable";

interface Entry<Value> {
    token: FencingNumber;
    state: FencingTokenState<Value>;
}

/**
 * Creates an empty table.
 * @param maximumTokens - The maximum number of recorded tokens.
 */
export function createFencingTokenTable<Value>(maximumTokens: number): FencingTokenTable<Value> {
    const entries = new Map<string, Entry<Value>>();
    let highestDiscarded: FencingNumber | undefined;
    return {
        getState,
        recordSeen: (number, value) => add(number, { kind: "seen", value }),
        recordForbidden: number => add(number, { kind: "forbidden" }),
    };

    function getState(token: FencingNumber): FencingTokenState<Value> {
        const entry = entries.get(getTokenKey(token));
        if (entry !== undefined) {
            return entry.state;
        }
        const mayBeDiscarded = highestDiscarded !== undefined && compareTokens(token, highestDiscarded) <= 0;
        return { kind: mayBeDiscarded ? "forgotten" : "unseen" };
    }

    function add(token: FencingNumber, state: FencingTokenState<Value>): void {
        entries.set(getTokenKey(token), { token, state });
        if (entries.size > maximumTokens) {
            const [[key, oldest]] = entries as unknown as [[string, Entry<Value>]];
            entries.delete(key);
            highestDiscarded = highestDiscarded === undefined || compareTokens(oldest.token, highestDiscarded) > 0
                ? oldest.token
                : highestDiscarded;
        }
    }
}

function getTokenKey(token: FencingNumber): string {
    return `${token.term}/${token.index}`;
}

/** Compares positions in the log; negative if the first precedes the second. */
function compareTokens(first: FencingNumber, second: FencingNumber): number {
    const difference = first.term === second.term ? first.index - second.index : first.term - second.term;
    return difference < 0n ? -1 : Number(difference > 0n);
}
