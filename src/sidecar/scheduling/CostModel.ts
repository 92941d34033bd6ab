/*
 * What work costs at one backend server.
 */

/** Estimates costs, and corrects itself by what ran. */
export interface CostModel {
    /** Gets how long a prefill takes in milliseconds. */
    getPrefillMilliseconds(uncachedTokens: number): number;
    /** Gets what a request takes of the backend server in milliseconds, before it has run. */
    getChargeMilliseconds(uncachedTokens: number, maximumTokens: number): number;
    /** Gets what a request took of the backend server in milliseconds. */
    getActualMilliseconds(uncachedTokens: number, completionTokens: number): number;
    /** Gets how long a request holds its place on average, in milliseconds. */
    getAverageRunMilliseconds(): number;
    /** Notes that a prefill has begun. */
    beginPrefill(): void;
    /** Notes that a prefill has ended. */
    endPrefill(uncachedTokens: number): void;
    /** Notes how long a request held its place and how long its answer was; undefined where that is not known. */
    addRun(runMilliseconds: number, completionTokens: number | undefined): void;
}
