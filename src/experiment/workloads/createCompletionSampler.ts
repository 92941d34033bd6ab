/*
 * Draws completions: their subscribers, their purposes and the nested prefixes of their prompts.
 */
import { PriorityName } from "../../control/configuration";
import { RandomSource } from "../../runtime";
import { chooseIndexByWeight } from "./chooseIndexByWeight";
import { CompletionTemplate } from "./CompletionTemplate";
import { getZipfWeights } from "./getZipfWeights";
import { PromptPart } from "./PromptPart";
import { WorkloadProfile } from "./WorkloadProfile";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

const blockTokens = 4_096;
const popularityShiftDocuments = 17;

interface CompletionSampler {
    /**
     * Draws a completion.
     * @param isShifted - Whether the popularity of documents has changed already.
     * @param subscriber - The subscriber that sends it; drawn as well if absent.
     */
    draw(isShifted: boolean, subscriber?: WorkloadSubscriber): CompletionTemplate;
}

/**
 * Creates the sampler of a workload's completions.
 * @param profile - The parameters of the workload.
 * @param subscribers - The subscribers, grouped by workspace in the order of the profile.
 * @param random - The source of random numbers.
 */
export function createCompletionSampler(
    profile: WorkloadProfile,
    subscribers: readonly WorkloadSubscriber[],
    random: RandomSource,
): CompletionSampler {
    const documentWeights = getZipfWeights(profile.documentsPerWorkspace);
    let drawnCount = 0;
    return { draw };

    function draw(isShifted: boolean, fixedSubscriber?: WorkloadSubscriber): CompletionTemplate {
        drawnCount += 1;
        const subscriber = fixedSubscriber ?? drawSubscriber();
        return random.getFraction() < profile.shortShare
            ? drawShort(subscriber, isShifted)
            : drawLong(subscriber, isShifted);
    }

    function drawSubscriber(): WorkloadSubscriber {
        const workspace = chooseIndexByWeight(profile.workspaceShares, random.getFraction());
        const isHeavy = random.getFraction() < profile.heavyShare;
        const index = isHeavy
            ? random.getInteger(profile.heavySubscribers)
            : profile.heavySubscribers
                + random.getInteger(profile.subscribersPerWorkspace - profile.heavySubscribers);
        return subscribers[workspace * profile.subscribersPerWorkspace + index]!;
    }

    function drawShort(subscriber: WorkloadSubscriber, isShifted: boolean): CompletionTemplate {
        const { minimum, maximum } = profile.shortSharedBlocks;
        const sharedTokens = blockTokens * drawBetween(minimum, maximum);
        const shared = profile.isShortOnDocument
            ? { ...drawDocument(subscriber, isShifted), tokens: sharedTokens }
            : { id: `${subscriber.workspace}/${subscriber.team}/handbook`, tokens: sharedTokens };
        return {
            kind: "completion",
            subscriber,
            purpose: profile.shortPurpose,
            isShort: true,
            parts: [getWorkspacePart(subscriber), shared, drawTail(profile.shortTailTokens)],
            maximumTokens: profile.shortMaximumTokens,
            priority: PriorityName.Interactive,
        };
    }

    function drawLong(subscriber: WorkloadSubscriber, isShifted: boolean): CompletionTemplate {
        const document = drawDocument(subscriber, isShifted);
        return {
            kind: "completion",
            subscriber,
            purpose: "summary",
            isShort: false,
            parts: [getWorkspacePart(subscriber), document, drawTail(profile.longTailTokens)],
            maximumTokens: profile.longMaximumTokens,
            priority: PriorityName.Deferred,
        };
    }

    function getWorkspacePart(subscriber: WorkloadSubscriber): PromptPart {
        return { id: subscriber.workspace, tokens: profile.workspacePromptTokens };
    }

    /** Draws a document by its popularity; its number determines its length. */
    function drawDocument(subscriber: WorkloadSubscriber, isShifted: boolean): PromptPart {
        const rank = chooseIndexByWeight(documentWeights, random.getFraction());
        const number = (rank + (isShifted ? popularityShiftDocuments : 0)) % profile.documentsPerWorkspace;
        return { id: `${subscriber.workspace}/document-${number}`, tokens: getDocumentTokens(number) };
    }

    /** Gets a document's length: most are short and a few long, independent of their popularity. */
    function getDocumentTokens(number: number): number {
        const { minimum, maximum } = profile.documentBlocks;
        const position = number * 7 % profile.documentsPerWorkspace / profile.documentsPerWorkspace;
        return Math.round(blockTokens * (minimum + (maximum - minimum) * position * position));
    }

    function drawTail(range: { minimum: number; maximum: number; }): PromptPart {
        return { id: `tail-${drawnCount}`, tokens: drawBetween(range.minimum, range.maximum) };
    }

    function drawBetween(minimum: number, maximum: number): number {
        return minimum + random.getInteger(maximum - minimum + 1);
    }
}
