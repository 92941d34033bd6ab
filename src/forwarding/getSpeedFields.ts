/*
 * The speed of a backend server, as the placement of log lines shows it.
 */
import { ServerSpeed } from "../serverSpeeds";

const hundredths = 100;

/**
 * Gets the fields of the placement with the work factor and its age; both undefined where it is unknown.
 * @param speed - The speed; undefined where it is unknown.
 */
export function getSpeedFields(speed: ServerSpeed | undefined) {
    return {
        workFactor: speed && Math.round(speed.workFactor * hundredths) / hundredths,
        workFactorAgeMilliseconds: speed && Math.round(speed.ageMilliseconds),
    };
}
