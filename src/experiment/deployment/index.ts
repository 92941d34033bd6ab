/*
 * A deployment for experiments, which runs in one process.
 */
export * from "./createWorkloadConfiguration";
export * from "./Deployment";
export * from "./DeploymentOptions";
export * from "./startDeployment";
