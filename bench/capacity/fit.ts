/**
 * Straight lines through measured points, by least squares.
 */

/** A measured point. */
export type Point = {
	readonly x: number;
	readonly y: number;
};

/** A fitted line and how far the points lie from it. */
export type LineFit = {
	readonly intercept: number;
	readonly slope: number;
	/** Greatest distance of a point from the line, relative to the point. */
	readonly worstResidual: number;
	/** Standard error of the slope; NaN below three points. */
	readonly slopeError: number;
	readonly points: readonly Point[];
};

function computeMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Computes the line with the least squares of the points' distances.
 *
 * @param points - At least two points with different x.
 * @param weigh - Weight of a point; equal weights if absent.
 * @returns The line and its error.
 */
export function computeLine(points: readonly Point[], weigh: (point: Point) => number = () => 1): LineFit {
	const weights = points.map(point => weigh(point));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	const meanX = points.reduce((sum, {x}, index) => sum + (weights[index] * x), 0) / total;
	const meanY = points.reduce((sum, {y}, index) => sum + (weights[index] * y), 0) / total;
	const spread = points.reduce((sum, {x}, index) => sum + (weights[index] * ((x - meanX) ** 2)), 0);
	const slope = points.reduce((sum, {x, y}, index) => sum + (weights[index] * (x - meanX) * (y - meanY)), 0) / spread;
	const intercept = meanY - (slope * meanX);
	const residuals = points.map(({x, y}) => y - intercept - (slope * x));
	const squares = residuals.reduce((sum, residual, index) => sum + (weights[index] * residual * residual), 0);
	return {
		intercept,
		slope,
		worstResidual: Math.max(...residuals.map((residual, index) => Math.abs(residual / points[index].y))),
		slopeError: points.length > 2 ? Math.sqrt(squares / (points.length - 2) / spread) : Number.NaN,
		points,
	};
}

/**
 * Computes a line whose relative distances from the points are least, for points that span decades.
 *
 * @param points - Points with positive y.
 * @returns The line and its error.
 */
export function computeRelativeLine(points: readonly Point[]): LineFit {
	return computeLine(points, ({y}) => 1 / (y * y));
}

/**
 * Computes the y of a line at an x.
 *
 * @param fit - The line.
 * @param x - Where.
 * @returns The value.
 */
export function computeAt(fit: LineFit, x: number): number {
	return fit.intercept + (fit.slope * x);
}

/**
 * Computes the mean and the greatest relative distance from it.
 *
 * @param values - Measured values.
 * @returns Both.
 */
export function computeSpread(values: readonly number[]): {readonly mean: number; readonly worstResidual: number} {
	const mean = computeMean(values);
	return {mean, worstResidual: Math.max(...values.map(value => Math.abs(value - mean) / mean))};
}
