/*
 * The result of one run of a measurement script.
 */
import { Figure } from "./Figure";

/** The figures of one script, as stored in docs/capacity/figures.json. */
export interface FigureSet {
    /** The command that measured the figures, relative to the repository's root. */
    command: string;
    /** How the run ended. */
    outcome: "finished" | "failed" | "timedOut";
    /** The figures in the order in which they were printed. */
    figures: readonly Figure[];
}
