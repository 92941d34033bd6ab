/*
 * A program of the platform whose processor time is measured.
 */

/** A running program. */
export interface MeasuredProcess {
    /** The loopback address. */
    readonly ip: string;
    /** Gets the processor time that it has used since its start, of all its threads, in milliseconds. */
    getProcessorMilliseconds(): number;
    /** Ends it; rejects where it has ended by itself. */
    stop(): Promise<void>;
}
