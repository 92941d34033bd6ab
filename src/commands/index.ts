/*
 * The command line, built with the clipanion library; each command has a file of its own.
 */
export * from "./createOperatorClient";
export * from "./ExitCode";
export * from "./formatCallFailure";
export * from "./formatTable";
export * from "./getCallExitCode";
export * from "./OperatorCall";
export * from "./OperatorCallOutcome";
export * from "./OperatorClient";
export * from "./OperatorClientOptions";
export * from "./OperatorCommand";
export * from "./runCommandLine";
