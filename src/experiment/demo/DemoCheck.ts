/*
 * A guarantee of the system that a demonstration checks.
 */

/** A check and its outcome. */
export interface DemoCheck {
    /** The guarantee that is checked. */
    name: string;
    /** Whether the guarantee holds. */
    holds: boolean;
    /** The figures on which the outcome is based. */
    details: string;
}
