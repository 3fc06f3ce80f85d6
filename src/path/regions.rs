//! Regions to which a request may be sent: operators bind routes and accounts to regions, and both
//! bindings apply.

use std::collections::HashMap;
use std::rc::Rc;

use crate::util::Name;

/// Regions allowed for the requests of a route or an account; `None` allows all.
pub type AllowedRegions = Option<Rc<[Name]>>;

/// Region of each data centre.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    by_data_center: HashMap<Name, Name>,
}

impl Regions {
    /// Parses comma-separated `DATA_CENTER=REGION` pairs. Malformed pairs are skipped, as settings
    /// are validated before.
    ///
    /// ```
    /// use cassiagrade::path::regions::Regions;
    /// let regions = Regions::parse("north=home,south=home,far=abroad");
    /// assert_eq!(regions.of("far").unwrap().as_ref(), "abroad");
    /// let allowed_regions = Some(["home".into()].into());
    /// assert!(regions.allow(&[&allowed_regions, &None], "south"));
    /// assert!(!regions.allow(&[&allowed_regions, &None], "far"));
    /// ```
    pub fn parse(pairs: &str) -> Self {
        let pairs = pairs.split(',').filter_map(|pair| pair.split_once('='));
        let names = pairs.map(|(data_center, region)| (data_center.into(), region.into()));
        Self {
            by_data_center: names.collect(),
        }
    }

    /// Region of `data_center`, if known.
    pub fn of(&self, data_center: &str) -> Option<&Name> {
        self.by_data_center.get(data_center)
    }

    /// Whether a caller in `region` may be directed to a router in `data_center`: one in the
    /// caller's region, or in a region that all of `allowed_regions` allow.
    pub fn may_start(
        &self,
        region: Option<&str>,
        allowed_regions: &[&AllowedRegions],
        data_center: &str,
    ) -> bool {
        let router_region = self.of(data_center).map(|r| &**r);
        let is_own = router_region.is_some() && router_region == region;
        is_own || self.allow(allowed_regions, data_center)
    }

    /// Whether all of `allowed_regions` allow `data_center`. A data centre of unknown region is
    /// allowed only if all of them are `None`.
    pub fn allow(&self, allowed_regions: &[&AllowedRegions], data_center: &str) -> bool {
        let region = self.of(data_center);
        let allows = |allowed_regions: &[Name]| region.is_some_and(|r| allowed_regions.contains(r));
        allowed_regions
            .iter()
            .filter_map(|regions| regions.as_deref())
            .all(allows)
    }
}
