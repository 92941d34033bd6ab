/*
 * A question of a member that asks to join.
 */
import { JoinResponse } from "../../protocol";

/** A request to join that was sent to one address. */
export interface JoinQuestion {
    /**
     * Records the response.
     * @param response - The response; undefined where none arrived.
     */
    finish(response: JoinResponse | undefined): void;
}
