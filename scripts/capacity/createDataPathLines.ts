/*
 * What the data path costs, apart from control: each entry's share of the peak, and each sidecar's.
 */
import { DataPathLine } from "./DataPathLine";
import { designSize } from "./designSize";
import { FigureBook } from "./FigureBook";
import { FittedLine } from "./FittedLine";

const fittedTokens = [12, 306];
const checkTokens = 151;
const lostDataCentreFactor = designSize.dataCentres / (designSize.dataCentres - 1);
const lostRegionFactor = designSize.regions / (designSize.regions - 1);

/** Creates the lines of the data path, and the fits that they rest on. */
export function createDataPathLines(book: FigureBook): { lines: DataPathLine[]; fits: FittedLine[]; } {
    const roles = [
        { role: "entry", processes: designSize.entries },
        { role: "companion", processes: designSize.sidecars },
    ];
    const fits = roles.map(({ role }) => book.fit(`path.${role}.{N}.perRequest`, fittedTokens, checkTokens));
    const lines = roles.flatMap(({ role, processes }, index) => {
        const requests = designSize.requestsPerSecond / processes;
        const tokens = designSize.tokensPerSecond / processes;
        const perRequest = fits[index]?.intercept;
        const perToken = fits[index]?.slope;
        const create = (situation: string, factor: number): DataPathLine => ({
            role,
            situation,
            requestsPerSecond: requests * factor,
            tokensPerSecond: tokens * factor,
            perRequest,
            perToken,
        });
        return [
            create("the peak", 1),
            create("a data centre lost", lostDataCentreFactor),
            create("a region lost, all its callers sent to the other", lostRegionFactor),
        ];
    });
    return { lines, fits: fits.filter(line => line !== undefined) };
}
