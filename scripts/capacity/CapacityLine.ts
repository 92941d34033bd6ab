/*
 * One line of the capacity page.
 */
import { Resource } from "./Resource";

/** The use of a resource by a role due to one cause: a slope times a count. */
export interface CapacityLine {
    /** The cause of the use. */
    name: string;
    /** The resource. */
    resource: Resource;
    /** The measured use for one unit of the count, in the resource's unit; undefined if not measured. */
    slope: number | undefined;
    /** The unit of the count that the slope refers to, for instance "a session". */
    slopeUnit: string;
    /** The count at the design size. */
    count: number;
    /** The name of the counted things, for instance "sessions". */
    countName: string;
    /** The path of the script that measured the slope, or the constant that the slope follows from. */
    source: string;
    /** The mechanism that causes the use or limits it. */
    mechanism: string;
    /** The folder with the mechanism's source; several are separated by a comma and a space. */
    folder: string;
    /** A change that would reduce the use; shown if the role exceeds the budget of the resource. */
    remedy?: string;
}
