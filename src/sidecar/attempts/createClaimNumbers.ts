/*
 * Remembers claims' numbers up to a bound. Numbers are places in the replicated log and so have an order; whatever is
 * dropped raises a mark, and a number at or below the mark that is not remembered may have been seen, so that it
 * neither runs nor counts as never run.
 */
import { FencingNumber } from "../../protocol";
import { ClaimNumbers } from "./ClaimNumbers";
import { NumberState } from "./NumberState";

interface Entry<Value> {
    number: FencingNumber;
    state: NumberState<Value>;
}

/**
 * Creates an empty memory of numbers.
 * @param maximumNumbers - How many numbers are remembered.
 */
export function createClaimNumbers<Value>(maximumNumbers: number): ClaimNumbers<Value> {
    const entries = new Map<string, Entry<Value>>();
    let mark: FencingNumber | undefined;
    return {
        getState,
        addSeen: (number, value) => add(number, { kind: "seen", value }),
        addForbidden: number => add(number, { kind: "forbidden" }),
    };

    function getState(number: FencingNumber): NumberState<Value> {
        const entry = entries.get(getName(number));
        if (entry !== undefined) {
            return entry.state;
        }
        const isBelowMark = mark !== undefined && compareNumbers(number, mark) <= 0;
        return { kind: isBelowMark ? "forgotten" : "unseen" };
    }

    function add(number: FencingNumber, state: NumberState<Value>): void {
        entries.set(getName(number), { number, state });
        if (entries.size > maximumNumbers) {
            const [[name, oldest]] = entries as unknown as [[string, Entry<Value>]];
            entries.delete(name);
            mark = mark === undefined || compareNumbers(oldest.number, mark) > 0 ? oldest.number : mark;
        }
    }
}

function getName(number: FencingNumber): string {
    return `${number.term}/${number.index}`;
}

/** Compares places in the log; negative where the first comes before the second. */
function compareNumbers(first: FencingNumber, second: FencingNumber): number {
    const difference = first.term === second.term ? first.index - second.index : first.term - second.term;
    return difference < 0n ? -1 : Number(difference > 0n);
}
