/*
 * A process of the system under a soak.
 */

/** One of the system's programs, started again whenever it ends. */
export interface SoakProcess {
    /** The loopback address of its instance. */
    readonly ip: string;
    readonly role: "entry" | "control";
    /** Tells whether it runs and is not paused. */
    isRunning(): boolean;
    /** Ends it at once; it starts again after a pause. */
    kill(): Promise<void>;
    /** Stops it as planned; it starts again after a pause. */
    terminate(): Promise<void>;
    /** Freezes it for a time. */
    pause(milliseconds: number): Promise<void>;
    /** Tells it to read its settings again. */
    reloadSettings(): void;
    /** Changes what its data folder holds before its next start. */
    changeDataFolderBeforeRestart(change: (folder: string) => void): void;
    stop(): Promise<void>;
}
