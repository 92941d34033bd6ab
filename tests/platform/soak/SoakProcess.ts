/*
 * A process of the system under test in a soak.
 */

/** One of the system's programs, which is started again whenever it exits. */
export interface SoakProcess {
    /** The loopback address of its instance. */
    readonly ip: string;
    /** The program that it runs. */
    readonly role: "entry" | "control";
    /** Returns whether it is running and not paused. */
    isRunning(): boolean;
    /**
     * Returns whether it has been running since a time without a pause, a signal that ends it, or an exit.
     * @param milliseconds - The time, in milliseconds since the epoch.
     */
    wasRunningSince(milliseconds: number): boolean;
    /** Gets how often it has exited by itself. */
    getUnplannedExitCount(): number;
    /** Gets when it last started, in milliseconds since the epoch. */
    getStartMilliseconds(): number;
    /** Kills it with SIGKILL; it is started again after a delay. */
    kill(): Promise<void>;
    /** Stops it with SIGTERM; it is started again after a delay. */
    terminate(): Promise<void>;
    /** Suspends it with SIGSTOP for a time, in milliseconds. */
    pause(milliseconds: number): Promise<void>;
    /** Makes it read its settings again, with SIGHUP. */
    reloadSettings(): void;
    /** Registers a change of its data folder, which is made before its next start. */
    changeDataFolderBeforeRestart(change: (folder: string) => void): void;
    /** Kills it without starting it again. */
    stop(): Promise<void>;
}
