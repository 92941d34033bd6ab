/*
 * The backend servers that entry processes have reported as unresponsive.
 */

/** Shares with the other entry processes which backend servers do not respond. */
export interface ReportedServers {
    /** Returns whether another entry process reports a backend server, unless it has responded to this one since. */
    isReported(instanceId: string): boolean;
    /** Reports a backend server, or goes on to report it; nothing where another entry process does. */
    report(instanceId: string): void;
    /** Ends the report of this entry process, if it has one. */
    endReport(instanceId: string): void;
    /** Ignores the reports of others for a while, since the backend server has responded. */
    contradict(instanceId: string): void;
}
