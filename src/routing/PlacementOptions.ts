/*
 * The dependencies of a placement.
 */
import { Clock, RandomSource } from "../runtime";

/** The options of a placement. */
export interface PlacementOptions {
    /** The clock by which hints and observed loads expire. */
    clock: Clock;
    /** The source of the random choices between backend servers. */
    random: RandomSource;
    /** The entry process's data centre, which is preferred for requests without a prefix; optional. */
    dataCentre?: string;
}
