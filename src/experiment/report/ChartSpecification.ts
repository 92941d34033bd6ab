/*
 * The specification of one chart of a report.
 */

/** The specification of a chart. */
export interface ChartSpecification {
    /** The chart's title. */
    title: string;
    /** The type of the chart. */
    type: "line" | "bar";
    /** The labels along the horizontal axis. */
    labels: readonly (string | number)[];
    /** The title of the vertical axis, which is its unit. */
    unit: string;
    /** The series, each with its name and its value for each label. */
    datasets: readonly { label: string; data: readonly number[]; }[];
}
