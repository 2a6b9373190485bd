package io.buckthornlever.bench.process.control

import java.util.Locale
import kotlin.math.ln

/** Least-squares line through measured points; of x or of ln x, whichever leaves the smaller residual. */
internal class LinearFit(
    private val points: List<Pair<Double, Double>>,
) {
    private class Line(
        val offset: Double,
        val slope: Double,
        val residual: Double,
    )

    private val linear = fit { it }
    private val logarithmic = fit { ln(it) }

    /** Slope of the straight line, in units of y per unit of x. */
    val slope: Double get() = linear.slope

    /** Value at [x] by the better fit. */
    fun at(x: Double): Double =
        if (isLinear) linear.offset + linear.slope * x else logarithmic.offset + logarithmic.slope * ln(x)

    private val isLinear: Boolean get() = linear.residual <= logarithmic.residual

    /** Points and fit on one line. */
    fun describe(): String {
        val text = points.joinToString(" ") { "(%.0f, %s)".format(Locale.ROOT, it.first, number(it.second)) }
        val line = if (isLinear) linear else logarithmic
        return "$text fit ${number(line.offset)} + ${number(line.slope)} * ${if (isLinear) "n" else "ln n"}"
    }

    private fun number(value: Double): String = "%.4g".format(Locale.ROOT, value)

    private fun fit(scale: (Double) -> Double): Line {
        val xs = points.map { scale(it.first) }
        val ys = points.map { it.second }
        val meanX = xs.average()
        val meanY = ys.average()
        val slope = xs.indices.sumOf { (xs[it] - meanX) * (ys[it] - meanY) } / xs.sumOf { (it - meanX) * (it - meanX) }
        val offset = meanY - slope * meanX
        return Line(offset, slope, xs.indices.sumOf { square(ys[it] - offset - slope * xs[it]) })
    }

    private fun square(value: Double): Double = value * value
}
