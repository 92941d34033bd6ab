/*
 * The processor time of the data path, without control: the share of the peak of each entry and of each sidecar.
 */
import { DataPathLine } from "./DataPathLine";
import { designSize } from "./designSize";
import { FittedLine } from "./FittedLine";
import { MeasuredFigures } from "./MeasuredFigures";

const fittedTokens = [12, 306];
const validationTokens = 151;
const lostDataCentreFactor = designSize.dataCentres / (designSize.dataCentres - 1);
const lostRegionFactor = designSize.regions / (designSize.regions - 1);

/**
 * Creates the lines of the data path, and the fits that their slopes come from.
 * @param measuredFigures - The measured figures.
 */
export function createDataPathLines(measuredFigures: MeasuredFigures): { lines: DataPathLine[]; fits: FittedLine[]; } {
    const roles = [
        { role: "entry", processes: designSize.entries },
        { role: "companion", processes: designSize.sidecars },
    ];
    const fits = roles.map(({ role }) =>
        measuredFigures.fitLine(`path.${role}.{N}.perRequest`, fittedTokens, validationTokens)
    );
    const lines = roles.flatMap(({ role, processes }, index) => {
        const requests = designSize.requestsPerSecond / processes;
        const tokens = designSize.tokensPerSecond / processes;
        const microsecondsPerRequest = fits[index]?.intercept;
        const microsecondsPerToken = fits[index]?.slope;
        const createLine = (situation: string, factor: number): DataPathLine => ({
            role,
            situation,
            requestsPerSecond: requests * factor,
            tokensPerSecond: tokens * factor,
            microsecondsPerRequest,
            microsecondsPerToken,
        });
        return [
            createLine("the peak", 1),
            createLine("loss of a data centre", lostDataCentreFactor),
            createLine("loss of a region, with all its callers sent to the other", lostRegionFactor),
        ];
    });
    return { lines, fits: fits.filter(line => line !== undefined) };
}
