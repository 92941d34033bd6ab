/*
 * An order to an engine to load new weights.
 */
import { FleetInstance } from "../protocol";

/** An order, with the fields by which an engine detects outdated orders. */
export interface WeightsOrder {
    /** The engine. */
    instance: FleetInstance;
    /** The name of the model whose weights change. */
    model: string;
    /** The version that the engine is to serve. */
    weightsVersion: number;
    /** The id of the leader, which sends the order. */
    holder: string;
    /** The term of the leader; an engine refuses orders with a lower token than it has already seen. */
    fencingToken: bigint;
    /**
     * The number of orders that the engine must have accepted; otherwise it refuses the order, however late it arrives.
     */
    expectedOrderCount: number;
}
