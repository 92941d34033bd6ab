/*
 * The questions of a member that asks to join, and their responses.
 */
import { JoinResponse } from "../../protocol";
import { JoinQuestion } from "./JoinQuestion";

/** The responses to questions that were asked within one limited time. */
export interface JoinRound {
    /** Starts a new round, which discards the responses so far, once the time of the current one is over. */
    renew(): void;
    /**
     * Begins a question to an address.
     * @returns The question; undefined where one was begun too recently.
     */
    beginQuestion(address: string): JoinQuestion | undefined;
    /**
     * Gets the response of each address to its newest answered question of this round.
     * @returns The responses in the order of the addresses; undefined where one is missing.
     */
    getResponses(addresses: readonly string[]): ReadonlyMap<string, JoinResponse> | undefined;
}
