//! Draws line plots as SVG.

use crate::table::Table;
use plotters::backend::SVGBackend;
use plotters::chart::{ChartBuilder, ChartContext};
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::PathElement;
use plotters::prelude::Cartesian2d;
use plotters::series::LineSeries;
use plotters::style::{Color, RGBColor, BLACK, WHITE};
use std::collections::BTreeMap;
use std::fmt::Display;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (860, 340);
/// Colours of policies, in the order of their names. The palette is distinguishable with red-green colour blindness.
const COLOURS: [RGBColor; 4] =
    [RGBColor(0, 114, 178), RGBColor(213, 94, 0), RGBColor(0, 158, 115), RGBColor(120, 94, 180)];
/// Colour of the reference line, a neutral grey.
const REFERENCE_COLOUR: RGBColor = RGBColor(110, 110, 110);
/// The y axis ends at this multiple of the largest value.
const Y_MARGIN: f64 = 1.08;
/// Least upper end of an axis, so that its range is never empty.
const MIN_EXTENT: f64 = 1e-9;
/// Length of the line samples in the legend, in pixels.
const LEGEND_LENGTH: i32 = 18;
/// Steps per unit to which x values are rounded down when values are grouped.
const X_RESOLUTION: f64 = 1000.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// An error of the drawing backend, with the title of the plot.
#[derive(Debug, thiserror::Error)]
#[error("{title}: {reason}")]
pub struct PlotError {
    title: &'static str,
    reason: String,
}

/// A named line of a plot.
pub(super) struct Line {
    pub name: String,
    /// Points (x, y) in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// A horizontal reference line, such as a bound.
pub(super) struct Reference<'a> {
    pub y: f64,
    pub name: &'a str,
}

/// A line plot with labelled axes.
pub(super) struct Plot<'a> {
    pub title: &'static str,
    pub x_label: &'a str,
    pub y_label: &'a str,
    pub lines: Vec<Line>,
    pub reference: Option<Reference<'a>>,
}

/// The ranges of the axes; the y axis begins at zero.
struct Extent {
    x_min: f64,
    x_max: f64,
    y_max: f64,
}

impl Plot<'_> {
    /// Draws the plot and returns the SVG text.
    pub fn to_svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            area.fill(&WHITE).map_err(|error| self.failed(error))?;
            self.draw(&area)?;
            area.present().map_err(|error| self.failed(error))?;
        }
        Ok(svg)
    }

    fn failed(&self, reason: impl Display) -> PlotError {
        PlotError { title: self.title, reason: reason.to_string() }
    }

    fn extent(&self) -> Extent {
        let points = || self.lines.iter().flat_map(|line| line.points.iter()).filter(|(_, y)| y.is_finite());
        let x_max = points().map(|point| point.0).fold(MIN_EXTENT, f64::max);
        let reference = self.reference.as_ref().map(|reference| reference.y);
        let y_max = points().map(|point| point.1).chain(reference).fold(MIN_EXTENT, f64::max) * Y_MARGIN;
        let x_min = points().map(|point| point.0).fold(x_max, f64::min);
        Extent { x_min, x_max, y_max }
    }

    fn draw(&self, area: &Area) -> Result<(), PlotError> {
        let extent = self.extent();
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(extent.x_min..extent.x_max, 0.0..extent.y_max)
            .map_err(|error| self.failed(error))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .draw()
            .map_err(|error| self.failed(error))?;
        self.draw_lines(&mut chart)?;
        if let Some(reference) = &self.reference {
            self.draw_reference(&mut chart, reference, &extent)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(|error| self.failed(error))
    }

    fn draw_lines(&self, chart: &mut Chart) -> Result<(), PlotError> {
        for (position, line) in self.lines.iter().enumerate() {
            let style = COLOURS[position % COLOURS.len()].stroke_width(2);
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), style))
                .map_err(|error| self.failed(error))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LENGTH, y)], style));
        }
        Ok(())
    }

    fn draw_reference(
        &self,
        chart: &mut Chart,
        reference: &Reference,
        extent: &Extent,
    ) -> Result<(), PlotError> {
        let points = [(extent.x_min, reference.y), (extent.x_max, reference.y)];
        chart
            .draw_series(LineSeries::new(points, REFERENCE_COLOUR))
            .map_err(|error| self.failed(error))?
            .label(reference.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LENGTH, y)], REFERENCE_COLOUR));
        Ok(())
    }
}

/// One line for each policy of a scenario: the second column over the first. `aggregate` combines the values that all
/// seeds have at the same x.
pub(super) fn lines_by_policy(
    table: &Table,
    scenario: &str,
    [x_column, y_column]: [&str; 2],
    aggregate: fn(&[f64]) -> f64,
) -> Vec<Line> {
    let mut values: BTreeMap<&str, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    let runs = table.text_column("scenario").iter().zip(table.text_column("policy"));
    for ((of, policy), (x, y)) in
        runs.zip(table.number_column(x_column).iter().zip(table.number_column(y_column)))
    {
        if of == scenario {
            let at_x = values.entry(policy).or_default().entry((*x * X_RESOLUTION) as u64).or_default();
            at_x.push(*y);
        }
    }
    let line = |(policy, points): (&str, BTreeMap<u64, Vec<f64>>)| Line {
        name: policy.to_owned(),
        points: points.into_iter().map(|(x, values)| (x as f64 / X_RESOLUTION, aggregate(&values))).collect(),
    };
    values.into_iter().map(line).collect()
}
