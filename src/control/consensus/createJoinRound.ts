/*
 * Decides when a member that asks to join may ask an address, and collects the responses in rounds. A group is started
 * only on responses of one round, since a member that was empty long ago may belong to a group by now.
 */
import { JoinResponse } from "../../protocol";
import { Clock } from "../../runtime";
import { JoinQuestion } from "./JoinQuestion";
import { JoinRound } from "./JoinRound";

interface JoinRoundOptions {
    /** The clock. */
    clock: Clock;
    /** The minimum time between two questions to an address, in milliseconds. */
    intervalMilliseconds: number;
    /** How long an unanswered question keeps an address from being asked again, in milliseconds. */
    timeoutMilliseconds: number;
    /** The time after which responses of a round no longer count, in milliseconds. */
    roundMilliseconds: number;
}

/** The questions to one address. */
interface AskedAddress {
    /** When the last question was begun, in monotonic milliseconds. */
    askedMilliseconds: number;
    /** Whether the last question is finished. */
    isFinished: boolean;
    /** When the newest answered question was begun, in monotonic milliseconds. */
    answeredMilliseconds: number;
    /** The response to that question; undefined before the first one. */
    response: JoinResponse | undefined;
}

/**
 * Creates the first round.
 * @param options - The intervals and the clock.
 */
export function createJoinRound(options: JoinRoundOptions): JoinRound {
    const { clock, intervalMilliseconds, timeoutMilliseconds, roundMilliseconds } = options;
    const asked = new Map<string, AskedAddress>();
    let startMilliseconds = -Infinity;
    return { renew, beginQuestion, getResponses };

    function renew(): void {
        const now = clock.getMonotonicMilliseconds();
        if (now - startMilliseconds >= roundMilliseconds) {
            startMilliseconds = now;
        }
    }

    function beginQuestion(address: string): JoinQuestion | undefined {
        const now = clock.getMonotonicMilliseconds();
        const previous = asked.get(address);
        if (previous) {
            const waitMilliseconds = previous.isFinished ? intervalMilliseconds : timeoutMilliseconds;
            if (now - previous.askedMilliseconds < waitMilliseconds) {
                return undefined;
            }
        }
        const entry = previous ?? createAskedAddress();
        entry.askedMilliseconds = now;
        entry.isFinished = false;
        asked.set(address, entry);
        return { finish };

        function finish(response: JoinResponse | undefined): void {
            entry.isFinished ||= entry.askedMilliseconds === now;
            if (response && now >= entry.answeredMilliseconds) {
                entry.answeredMilliseconds = now;
                entry.response = response;
            }
        }
    }

    function getResponses(addresses: readonly string[]): ReadonlyMap<string, JoinResponse> | undefined {
        const isRoundOver = clock.getMonotonicMilliseconds() - startMilliseconds >= roundMilliseconds;
        const responses = new Map<string, JoinResponse>();
        for (const address of addresses) {
            const entry = asked.get(address);
            if (isRoundOver || !entry?.response || entry.answeredMilliseconds < startMilliseconds) {
                return undefined;
            }
            responses.set(address, entry.response);
        }
        return responses;
    }
}

function createAskedAddress(): AskedAddress {
    return { askedMilliseconds: 0, isFinished: true, answeredMilliseconds: -Infinity, response: undefined };
}
