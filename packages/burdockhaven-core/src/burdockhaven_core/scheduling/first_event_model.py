"""Predicts the time to the first event of a request from the length of its prompt."""

# Times that are assumed until they are measured: without prefill, and to prefill one
# prompt token.
ASSUMED_BASE_MS = 50.0
ASSUMED_MS_PER_TOKEN = 0.01
# Prompt lengths at which the assumed times count as samples, and the weight of each.
ASSUMED_PROMPT_TOKENS = (0, 1_000, 4_000, 16_000)
ASSUMED_WEIGHT = 1.0
# Factor on the weight of all earlier samples at each new one.
SAMPLE_RETENTION = 0.99
# A sample counts as at most this multiple of its prediction, so that a stalled engine
# does not distort the estimate.
MAX_OUTLIER_FACTOR = 3.0
# Prompt tokens from which on the deviations are assumed to grow with the length.
LONG_PROMPT_TOKENS = 5_000.0
# Prompt tokens of one unit of the regressors, which keeps their magnitudes similar.
TOKENS_PER_UNIT = 1_000.0
# Smallest pivot in the solution of the normal equations.
MIN_PIVOT = 1e-9

Vector = tuple[float, float, float]


class FirstEventModel:
    """Quadratic function of the prompt tokens: base, per token, and per pair of tokens.

    Attention makes the cost of a prompt grow faster than its length. The prefill takes
    longer on a slow engine; the base, which is mostly the way to the engine and back,
    does not. The coefficients are fitted by weighted least squares, and none is
    negative.
    """

    def __init__(self) -> None:
        self.coefficients: Vector = (
            ASSUMED_BASE_MS,
            ASSUMED_MS_PER_TOKEN * TOKENS_PER_UNIT,
            0.0,
        )
        # Weighted sums of the products of the regressors, and of these with the times.
        self.products = [[0.0] * 3 for _ in range(3)]
        self.targets = [0.0] * 3
        for tokens in ASSUMED_PROMPT_TOKENS:
            self._add(tokens, 1.0, self.predict_ms(tokens), ASSUMED_WEIGHT)

    def predict_ms(self, prefill_tokens: int, slowness: float = 1.0) -> float:
        """Return the milliseconds to the first event of a request."""
        # Written out, because each placement predicts for every engine.
        base, linear, quadratic = self.coefficients
        units = prefill_tokens / TOKENS_PER_UNIT
        scaled = slowness * units
        return base + linear * scaled + quadratic * (scaled * units)

    def prefill_ms(self, tokens: int) -> float:
        """Return the milliseconds to prefill tokens on a nominal engine."""
        return self.predict_ms(tokens) - self.coefficients[0]

    def record(self, prefill_tokens: int, slowness: float, measured_ms: float) -> None:
        """Add a sample and fit the coefficients again."""
        limit_ms = MAX_OUTLIER_FACTOR * self.predict_ms(prefill_tokens, slowness)
        for row in (*self.products, self.targets):
            row[:] = [value * SAMPLE_RETENTION for value in row]
        self._add(prefill_tokens, slowness, min(measured_ms, limit_ms), 1.0)
        self._fit()

    def _add(self, tokens: int, slowness: float, ms: float, weight: float) -> None:
        regressors = _regressors(tokens, slowness)
        # The deviations grow with the length; otherwise long prompts would dominate.
        weight /= (1.0 + tokens * slowness / LONG_PROMPT_TOKENS) ** 2
        for row, first in enumerate(regressors):
            self.targets[row] += weight * first * ms
            for column, second in enumerate(regressors):
                self.products[row][column] += weight * first * second

    def _fit(self) -> None:
        """Solve the normal equations, without each term that comes out negative."""
        terms = [0, 1, 2]
        while terms:
            solution = _solve(
                [[self.products[row][column] for column in terms] for row in terms],
                [self.targets[row] for row in terms],
            )
            if solution is None:
                return
            smallest = min(range(len(terms)), key=solution.__getitem__)
            if solution[smallest] >= 0:
                values = dict(zip(terms, solution, strict=True))
                self.coefficients = (
                    values.get(0, 0.0),
                    values.get(1, 0.0),
                    values.get(2, 0.0),
                )
                return
            del terms[smallest]


def _regressors(tokens: int, slowness: float) -> Vector:
    units = tokens / TOKENS_PER_UNIT
    return (1.0, slowness * units, slowness * units * units)


def _solve(matrix: list[list[float]], targets: list[float]) -> list[float] | None:
    """Solve a small symmetric system by elimination; None if it is singular."""
    size = len(targets)
    rows = [[*matrix[index], targets[index]] for index in range(size)]
    for pivot in range(size):
        if abs(rows[pivot][pivot]) < MIN_PIVOT:
            return None
        for row in range(size):
            if row != pivot:
                factor = rows[row][pivot] / rows[pivot][pivot]
                rows[row] = [
                    value - factor * pivot_value
                    for value, pivot_value in zip(rows[row], rows[pivot], strict=True)
                ]
    return [rows[index][size] / rows[index][index] for index in range(size)]
